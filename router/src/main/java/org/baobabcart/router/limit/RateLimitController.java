package org.baobabcart.router.limit;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.policy.limit.ClaimAction;
import org.baobabcart.policy.limit.ClaimPolicy;
import org.baobabcart.policy.limit.RateLimitClaim;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.UpstreamRateLimits;

/**
 * Agrees with the other routers, through the platform's store, who sends requests to an upstream that limits its rate. Confined to the control thread.
 *
 * <p>There is one object for each limited upstream, which its holder renews by conditional updates. The store is called only while a limit
 * is known, apart from one watch.
 */
public final class RateLimitController implements Controller {
    /** The kind of the stored objects. */
    public static final String KIND = "upstream-limits";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration REVIEW_PERIOD = Duration.ofMillis(500);
    /** Longer than a write takes. Other routers' claims arrive within this time as a rule. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ObjectInformer.Dependencies dependencies;
    private final Blackboard blackboard;
    private final UpstreamRateLimits limits;
    private final ClaimPolicy policy;
    private final ObjectInformer<StoredClaim> informer;
    private final Map<String, SeenClaim> claims = new HashMap<>();
    private final Set<String> pendingWrites = new HashSet<>();
    private final Map<String, Long> retryNanos = new HashMap<>();
    private Optional<TimerService.Subscription> reviews = Optional.empty();
    private boolean released;

    /** A claim and the object that holds it. */
    private record StoredClaim(StoredObject object, RateLimitClaim claim) {
        static Optional<StoredClaim> decode(StoredObject object) {
            return Optional.of(new StoredClaim(object, RateLimitClaimJson.read(object.spec())));
        }
    }

    /**
     * A claim as this router has seen it.
     *
     * @param sinceNanos when this version of the claim was first seen, or sent if this router wrote it
     * @param spreadNanos this router's random addition to the takeover delay
     */
    private record SeenClaim(StoredClaim stored, long sinceNanos, long spreadNanos) {}

    private RateLimitController(
            String router, ObjectInformer.Dependencies dependencies, Blackboard blackboard, UpstreamRateLimits limits) {
        this.dependencies = dependencies;
        this.blackboard = blackboard;
        this.limits = limits;
        this.policy =
                ClaimPolicy.of(router, Long.toHexString(dependencies.random().nextLong()));
        this.informer = ObjectInformer.create(
                KIND, dependencies, InformerSettings.defaults(), StoredClaim::decode, this::onClaims);
    }

    /**
     * Creates a controller that knows no claims yet.
     *
     * @param router the name of this router
     * @param limits the limits as upstreams advertise them to this router
     */
    public static RateLimitController create(
            String router, ObjectInformer.Dependencies dependencies, Blackboard blackboard, UpstreamRateLimits limits) {
        return new RateLimitController(router, dependencies, blackboard, limits);
    }

    @Override
    public void start() {
        informer.start();
        limits.onChanged(() -> dependencies.loop().execute(this::review));
        reviews = Optional.of(dependencies.timers().every("rate-limits", REVIEW_PERIOD, this::review));
    }

    @Override
    public Uni<Void> stop() {
        reviews.ifPresent(TimerService.Subscription::cancel);
        informer.stop();
        return Uni.createFrom().voidItem();
    }

    /**
     * Releases the claims of this router, so that others can take them over before it ends, and makes no more. From now on it sends nothing to
     * limited upstreams.
     */
    public void release() {
        released = true;
        long now = dependencies.timers().nanoTime();
        claims.forEach((name, seen) -> {
            RateLimitClaim claim = seen.stored().claim();
            if (policy.isOwn(claim)) {
                limits.revoke(name, now);
                dependencies
                        .store()
                        .update(seen.stored().object().withSpec(RateLimitClaimJson.write(claim.released())))
                        .subscribe()
                        .with(ignored -> {}, failure -> logNotWritten(name, "release", failure));
            }
        });
    }

    /** Returns whether the claims of all routers have been read. May be called on any thread. */
    public boolean isSynced() {
        return informer.isSynced();
    }

    private void onClaims(Map<String, StoredClaim> stored) {
        long now = dependencies.timers().nanoTime();
        claims.entrySet()
                .removeIf(entry -> !stored.containsKey(entry.getKey()) && !isOwnAndFresh(entry.getValue(), now));
        stored.forEach((name, claim) -> {
            SeenClaim seen = claims.get(name);
            boolean isKnown = seen != null
                    && (seen.stored().equals(claim) || isNewerOwn(seen.stored().claim(), claim.claim()));
            if (!isKnown) {
                claims.put(name, seen(claim, now));
            }
        });
        follow(now);
    }

    /** A claim that this router has just written may reach its own watch later. */
    private boolean isOwnAndFresh(SeenClaim seen, long now) {
        return policy.isOwn(seen.stored().claim()) && now - seen.sinceNanos() < ClaimPolicy.VALIDITY.toNanos();
    }

    private boolean isNewerOwn(RateLimitClaim known, RateLimitClaim received) {
        return policy.isOwn(known) && policy.isOwn(received) && known.renewals() >= received.renewals();
    }

    private SeenClaim seen(StoredClaim claim, long nanos) {
        return new SeenClaim(claim, nanos, dependencies.random().nextLong(ClaimPolicy.TAKEOVER_SPREAD.toNanos()));
    }

    private void follow(long now) {
        Map<String, RateLimitClaim> known = new HashMap<>();
        claims.forEach((name, seen) -> known.put(name, seen.stored().claim()));
        limits.follow(known, now);
    }

    private void review() {
        Map<String, UpstreamRateLimits.Advertised> advertised = limits.advertised();
        Set<String> names = new HashSet<>(claims.keySet());
        names.addAll(advertised.keySet());
        if (names.isEmpty()) {
            return;
        }
        Map<String, Long> incarnations = new HashMap<>();
        blackboard
                .read(Sections.VIRTUAL_MACHINES)
                .forEach(machine -> incarnations.put(machine.name(), machine.incarnation()));
        names.forEach(name ->
                review(name, Optional.ofNullable(advertised.get(name)), Optional.ofNullable(incarnations.get(name))));
    }

    private void review(
            String name, Optional<UpstreamRateLimits.Advertised> advertised, Optional<Long> listedIncarnation) {
        long now = dependencies.timers().nanoTime();
        Long retry = retryNanos.get(name);
        if (released || pendingWrites.contains(name) || (retry != null && now - retry < 0)) {
            return;
        }
        Optional<SeenClaim> seen = Optional.ofNullable(claims.get(name));
        Optional<RateLimitClaim> claim = seen.map(known -> known.stored().claim());
        ClaimAction action = policy.decide(new ClaimPolicy.Knowledge(
                claim,
                seen.map(known -> now - known.sinceNanos()).orElse(0L),
                seen.map(SeenClaim::spreadNanos).orElse(0L),
                advertised
                        .filter(limit -> isInForce(limit, listedIncarnation))
                        .map(limit -> OptionalDouble.of(limit.perSecond()))
                        .orElse(OptionalDouble.empty()),
                listedIncarnation));
        switch (action) {
            case CREATE, RENEW, TAKE_OVER -> advertised.ifPresent(limit -> write(name, action, seen, limit, now));
            case REMOVE -> seen.ifPresent(known -> remove(name, known));
            default -> {}
        }
    }

    private static boolean isInForce(UpstreamRateLimits.Advertised limit, Optional<Long> listedIncarnation) {
        boolean isCurrent =
                listedIncarnation.map(listed -> listed == limit.incarnation()).orElse(true);
        return isCurrent && !limit.ended();
    }

    private void write(
            String name, ClaimAction action, Optional<SeenClaim> seen, UpstreamRateLimits.Advertised limit, long now) {
        RateLimitClaim claim =
                policy.claim(seen.map(known -> known.stored().claim()), limit.incarnation(), limit.perSecond());
        StoredObject object = seen.map(known -> known.stored().object().withSpec(RateLimitClaimJson.write(claim)))
                .orElseGet(() -> StoredObject.create(KIND, name, RateLimitClaimJson.write(claim)));
        pendingWrites.add(name);
        Uni<StoredObject> written = seen.isPresent()
                ? dependencies.store().update(object)
                : dependencies.store().create(object);
        written.emitOn(dependencies.loop())
                .subscribe()
                .with(
                        stored -> onWritten(name, action, new StoredClaim(stored, claim), now),
                        failure -> onWriteFailed(name, action, failure));
    }

    private void onWritten(String name, ClaimAction action, StoredClaim claim, long sentNanos) {
        pendingWrites.remove(name);
        retryNanos.remove(name);
        claims.put(name, seen(claim, sentNanos));
        if (released) {
            release();
            return;
        }
        limits.grant(name, claim.claim().incarnation(), sentNanos + ClaimPolicy.VALIDITY.toNanos());
        if (action != ClaimAction.RENEW) {
            record(name, "this router alone sends to it, " + claim.claim().perSecond() + " requests a second");
        }
    }

    private void remove(String name, SeenClaim seen) {
        pendingWrites.add(name);
        long incarnation = seen.stored().claim().incarnation();
        limits.revoke(name, dependencies.timers().nanoTime());
        dependencies
                .store()
                .delete(seen.stored().object())
                .emitOn(dependencies.loop())
                .subscribe()
                .with(
                        ignored -> {
                            pendingWrites.remove(name);
                            claims.remove(name);
                            limits.forget(name, incarnation);
                            record(name, "all routers send to it again");
                        },
                        failure -> onWriteFailed(name, ClaimAction.REMOVE, failure));
    }

    private void onWriteFailed(String name, ClaimAction action, Throwable failure) {
        pendingWrites.remove(name);
        retryNanos.put(name, dependencies.timers().nanoTime() + RETRY_DELAY.toNanos());
        logNotWritten(name, action.name(), failure);
    }

    private static void logNotWritten(String name, String action, Throwable failure) {
        LOGGER.atInfo().log(
                "event=rate_limit_claim_not_written upstream=%s action=%s cause=%s",
                name, action, failure.getMessage());
    }

    private void record(String upstream, String change) {
        dependencies
                .timeline()
                .record(
                        EventType.UPSTREAM_CHANGED,
                        EventFields.of(EventField.UPSTREAM, upstream).with(EventField.CHANGE, change));
    }
}
