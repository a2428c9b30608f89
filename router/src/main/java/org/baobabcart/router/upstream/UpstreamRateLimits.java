package org.baobabcart.router.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.limit.RateLimitClaim;
import org.baobabcart.policy.limit.RequestPace;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * The rate limits that upstreams have advertised for all routers together, and what this router may send within them. Thread-safe.
 *
 * <p>This router sends a limited upstream nothing, neither requests nor health checks, unless it holds the claim on it. Then it spaces its
 * requests by the limit, which holds until the upstream's responses no longer name it.
 */
public final class UpstreamRateLimits {
    /** Responses without a limit that come for this long, with none in between that names it, show that the limit has ended. */
    private static final Duration END_CONFIRMATION = Duration.ofSeconds(2);
    /** When to ask again for an upstream to which another router sends; a limit lasts for seconds at least. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(5);

    private final Timeline timeline;
    private final Map<String, Limit> limits = new ConcurrentHashMap<>();
    private volatile Runnable listener = () -> {};

    /** The state of one limit. Guarded by the enclosing object. */
    private static final class Limit {
        private final long incarnation;
        private final long learnedNanos;
        private double perSecond;
        private boolean claimed;
        private boolean ended;
        private OptionalLong unlimitedSince = OptionalLong.empty();
        private RequestPace pace;
        private long validUntilNanos;

        private Limit(long incarnation, double perSecond, long nowNanos) {
            this.incarnation = incarnation;
            this.perSecond = perSecond;
            this.learnedNanos = nowNanos;
            this.validUntilNanos = nowNanos;
            this.pace = RequestPace.startingAfter(perSecond, nowNanos);
        }
    }

    /**
     * A limit that this router knows of. Immutable.
     *
     * @param incarnation the incarnation of the upstream that advertised it
     * @param perSecond the limit in requests a second
     * @param ended whether the responses to this router's requests show that the limit has ended
     */
    public record Advertised(long incarnation, double perSecond, boolean ended) {}

    private UpstreamRateLimits(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Creates an instance without limits. */
    public static UpstreamRateLimits create(Timeline timeline) {
        return new UpstreamRateLimits(timeline);
    }

    /** Sets the action that is run on any thread after a limit was advertised, changed or ended. */
    public void onChanged(Runnable newListener) {
        listener = newListener;
    }

    /**
     * Records what a response says about the limit of its upstream.
     *
     * @param sentNanos when the request was sent
     */
    public void update(VirtualMachine upstream, RateLimitNotice notice, long sentNanos, long nowNanos) {
        boolean isNews =
                switch (notice.kind()) {
                    case LIMITED -> advertise(upstream, notice.perSecond(), nowNanos);
                    case UNLIMITED -> !limits.isEmpty() && confirmEnd(upstream, sentNanos, nowNanos);
                    default -> false;
                };
        if (isNews) {
            listener.run();
        }
    }

    private synchronized boolean advertise(VirtualMachine upstream, double perSecond, long nowNanos) {
        Limit limit = limits.get(upstream.name());
        boolean isNew = limit == null || limit.incarnation != upstream.incarnation();
        if (isNew) {
            limit = new Limit(upstream.incarnation(), perSecond, nowNanos);
            limits.put(upstream.name(), limit);
        }
        boolean isNews = isNew || limit.perSecond != perSecond || limit.ended;
        limit.unlimitedSince = OptionalLong.empty();
        limit.ended = false;
        limit.perSecond = perSecond;
        limit.pace = limit.pace.withRate(perSecond);
        if (isNews) {
            record(upstream.name(), "limits its rate to " + perSecond + " requests a second");
        }
        return isNews;
    }

    /** Only responses to requests that were sent since the limit was known can show its end. */
    private synchronized boolean confirmEnd(VirtualMachine upstream, long sentNanos, long nowNanos) {
        Limit limit = limits.get(upstream.name());
        if (limit == null || limit.incarnation != upstream.incarnation() || sentNanos - limit.learnedNanos < 0) {
            return false;
        }
        if (limit.unlimitedSince.isEmpty()) {
            limit.unlimitedSince = OptionalLong.of(nowNanos);
        }
        boolean isConfirmed = nowNanos - limit.unlimitedSince.getAsLong() >= END_CONFIRMATION.toNanos();
        if (!isConfirmed || limit.ended) {
            return false;
        }
        limit.ended = true;
        record(upstream.name(), "no longer limits its rate");
        return true;
    }

    private void record(String upstream, String change) {
        timeline.record(
                EventType.UPSTREAM_CHANGED,
                EventFields.of(EventField.UPSTREAM, upstream).with(EventField.CHANGE, change));
    }

    boolean isEmpty() {
        return limits.isEmpty();
    }

    /** Forgets the limits of earlier incarnations of the listed upstreams. */
    synchronized void removeStale(Map<String, Long> listedIncarnations) {
        limits.entrySet().removeIf(entry -> {
            Long listed = listedIncarnations.get(entry.getKey());
            return listed != null && listed != entry.getValue().incarnation;
        });
    }

    /** Returns the number of upstreams that limit their rate. */
    public int count() {
        return limits.size();
    }

    /** Returns whether the current incarnation of the upstream has a limit. */
    public boolean isLimited(VirtualMachine upstream) {
        Limit limit = limits.get(upstream.name());
        return limit != null && limit.incarnation == upstream.incarnation();
    }

    /** Returns when this router may send the upstream a request; empty if it may now. */
    public OptionalLong availableFrom(VirtualMachine upstream, long nowNanos) {
        if (!isLimited(upstream)) {
            return OptionalLong.empty();
        }
        synchronized (this) {
            Limit limit = limits.get(upstream.name());
            if (limit == null) {
                return OptionalLong.empty();
            }
            if (limit.validUntilNanos - nowNanos <= 0) {
                return OptionalLong.of(nowNanos + RETRY_DELAY.toNanos());
            }
            return limit.pace.allows(nowNanos) ? OptionalLong.empty() : OptionalLong.of(limit.pace.nextNanos());
        }
    }

    /** Counts a request or health check that is about to be sent; returns whether it may be sent. */
    public boolean tryTake(VirtualMachine upstream, long nowNanos) {
        if (!isLimited(upstream)) {
            return true;
        }
        synchronized (this) {
            if (availableFrom(upstream, nowNanos).isPresent()) {
                return false;
            }
            Limit limit = limits.get(upstream.name());
            if (limit != null) {
                limit.pace = limit.pace.afterRequest(nowNanos);
            }
            return true;
        }
    }

    /** Returns the known limits by the name of their upstream. */
    public synchronized Map<String, Advertised> advertised() {
        Map<String, Advertised> advertised = new HashMap<>();
        limits.forEach(
                (name, limit) -> advertised.put(name, new Advertised(limit.incarnation, limit.perSecond, limit.ended)));
        return advertised;
    }

    /** Learns limits from the claims of all routers, and forgets those whose claim is gone. */
    public synchronized void follow(Map<String, RateLimitClaim> claims, long nowNanos) {
        claims.forEach((name, claim) -> {
            Limit limit = limits.get(name);
            if (limit == null || limit.incarnation != claim.incarnation()) {
                // A newer incarnation that is limited as well is claimed anew.
                boolean isOutdated = limit != null && limit.incarnation > claim.incarnation();
                limit = isOutdated ? limit : new Limit(claim.incarnation(), claim.perSecond(), nowNanos);
                limits.put(name, limit);
            }
            limit.claimed |= limit.incarnation == claim.incarnation();
        });
        limits.entrySet().removeIf(entry -> entry.getValue().claimed && !claims.containsKey(entry.getKey()));
    }

    /**
     * Lets this router send to an upstream within its limit.
     *
     * @param validUntilNanos when its claim lapses unless it is renewed
     */
    public synchronized void grant(String upstream, long incarnation, long validUntilNanos) {
        Limit limit = limits.get(upstream);
        if (limit != null && limit.incarnation == incarnation) {
            limit.claimed = true;
            limit.validUntilNanos = validUntilNanos;
        }
    }

    /** Ends {@link #grant} before its time. */
    public synchronized void revoke(String upstream, long nowNanos) {
        Limit limit = limits.get(upstream);
        if (limit != null) {
            limit.validUntilNanos = nowNanos;
        }
    }

    /** Forgets a limit that has ended and whose claim this router has removed. */
    public synchronized void forget(String upstream, long incarnation) {
        limits.computeIfPresent(upstream, (name, limit) -> limit.incarnation == incarnation ? null : limit);
    }
}
