package org.baobabcart.router.upstream;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Tracks which upstreams have announced in responses to this router that they are leaving or accept no requests for a
 * time. Kept separately from the platform's list, which may be unreachable or carry the change later. Thread-safe.
 *
 * <p>A leaving upstream gets no more requests until it has restarted, even if its entry in the list expires and
 * reappears in between.
 */
public final class UpstreamNotices {
    private final Timeline timeline;
    private final Map<String, Long> leaving = new ConcurrentHashMap<>();
    private final Map<String, Unavailability> unavailable = new ConcurrentHashMap<>();
    private final ReplacedUpstreams replaced = ReplacedUpstreams.create();
    private final UpstreamRateLimits rateLimits;
    private final ColdUpstreams coldUpstreams;

    /** A time without requests, announced by one incarnation of an upstream. */
    private record Unavailability(long incarnation, long untilNanos) {}

    private UpstreamNotices(Timeline timeline) {
        this.timeline = timeline;
        this.rateLimits = UpstreamRateLimits.create(timeline);
        this.coldUpstreams = ColdUpstreams.create(timeline);
    }

    /** Creates a tracker without any notices. */
    public static UpstreamNotices create(Timeline timeline) {
        return new UpstreamNotices(timeline);
    }

    /** Records a notice from the head of a response. */
    public void update(VirtualMachine upstream, UpstreamNotice notice, long nowNanos) {
        if (notice.leaving()) {
            Long before = leaving.put(upstream.name(), upstream.incarnation());
            if (before == null || before != upstream.incarnation()) {
                recordChange(upstream, "says that it leaves");
            }
        }
        notice.retryAfter().ifPresent(time -> {
            unavailable.put(upstream.name(), new Unavailability(upstream.incarnation(), nowNanos + time.toNanos()));
            recordChange(upstream, "wants no work for " + time.toMillis() + " ms");
        });
        notice.coldFor().ifPresent(time -> coldUpstreams.markCold(upstream, time, "a response says so", nowNanos));
    }

    /** Records that another upstream has answered at the address of this one. */
    public void markReplaced(VirtualMachine upstream, long nowNanos) {
        if (replaced.add(upstream, nowNanos)) {
            recordChange(upstream, "another upstream has its address");
        }
    }

    private void recordChange(VirtualMachine upstream, String change) {
        timeline.record(
                EventType.UPSTREAM_CHANGED,
                EventFields.of(EventField.UPSTREAM, upstream.name()).with(EventField.CHANGE, change));
    }

    /** Returns the rate limits that upstreams have advertised. */
    public UpstreamRateLimits rateLimits() {
        return rateLimits;
    }

    /** Returns the upstreams that have just started. */
    public ColdUpstreams coldUpstreams() {
        return coldUpstreams;
    }

    /** Returns whether the upstream accepts requests, apart from its rate limit and from being cold. */
    public boolean acceptsRequests(VirtualMachine upstream, long nowNanos) {
        return !isGone(upstream, nowNanos)
                && unavailableUntil(upstream, nowNanos).isEmpty();
    }

    /** Returns the upstreams to which this router may send a request now; the same list if there are no notices. */
    public List<VirtualMachine> acceptingRequests(List<VirtualMachine> upstreams, long nowNanos) {
        if (leaving.isEmpty()
                && replaced.isEmpty()
                && unavailable.isEmpty()
                && rateLimits.isEmpty()
                && coldUpstreams.isEmpty()) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(upstream -> !isGone(upstream, nowNanos)
                        && availableFrom(upstream, nowNanos).isEmpty())
                .toList();
    }

    /** Returns whether the current incarnation of the upstream has announced that it is leaving, or another upstream has its address. */
    public boolean isGone(VirtualMachine upstream, long nowNanos) {
        Long incarnation = leaving.get(upstream.name());
        return incarnation != null && incarnation == upstream.incarnation() || replaced.contains(upstream, nowNanos);
    }

    /** Returns when this router may send to the upstream again, also within its rate limit and while it is cold; empty if it may now. */
    public OptionalLong availableFrom(VirtualMachine upstream, long nowNanos) {
        return later(
                later(unavailableUntil(upstream, nowNanos), rateLimits.availableFrom(upstream, nowNanos)),
                coldUpstreams.availableFrom(upstream, nowNanos));
    }

    private static OptionalLong later(OptionalLong one, OptionalLong other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        return one.getAsLong() - other.getAsLong() > 0 ? one : other;
    }

    private OptionalLong unavailableUntil(VirtualMachine upstream, long nowNanos) {
        Unavailability unavailability = unavailable.get(upstream.name());
        if (unavailability == null || unavailability.incarnation() != upstream.incarnation()) {
            return OptionalLong.empty();
        }
        if (unavailability.untilNanos() - nowNanos > 0) {
            return OptionalLong.of(unavailability.untilNanos());
        }
        unavailable.remove(upstream.name(), unavailability);
        return OptionalLong.empty();
    }

    /**
     * Removes the leaving state and rate limits of earlier incarnations of the listed upstreams, and times without requests that have
     * passed. The leaving state of an unlisted upstream is kept, because it may be listed again.
     */
    public void removeStale(Collection<VirtualMachine> listed, long nowNanos) {
        Map<String, Long> incarnations = listed.stream()
                .collect(
                        Collectors.toMap(VirtualMachine::name, VirtualMachine::incarnation, (first, second) -> second));
        leaving.entrySet().removeIf(entry -> {
            Long incarnation = incarnations.get(entry.getKey());
            return incarnation != null && !incarnation.equals(entry.getValue());
        });
        replaced.removeStale(listed, nowNanos);
        unavailable.values().removeIf(unavailability -> unavailability.untilNanos() - nowNanos <= 0);
        rateLimits.removeStale(incarnations);
    }
}
