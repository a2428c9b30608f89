package org.baobabcart.policy.limit;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decides who sends requests to an upstream that advertises a rate limit for all routers together. Immutable.
 *
 * <p>A lease in the platform's store: one router at a time holds the claim and keeps to the limit, all others send nothing. The holder stops when it
 * has not renewed its claim for a validity period, and others take the claim over only after a longer time without a renewal, so that
 * two never send at once. A limit that is divided among all routers instead would leave each of many routers less than one request in minutes, and
 * one request of each of them would exceed it.
 */
public final class ClaimPolicy {
    /** How long a claim is valid after the renewal was sent. */
    public static final Duration VALIDITY = Duration.ofSeconds(8);
    /** How often a claim is renewed. */
    public static final Duration RENEWAL_PERIOD = Duration.ofSeconds(3);
    /** How long a claim has to be seen without a renewal until another router may take it over. */
    public static final Duration TAKEOVER_DELAY = Duration.ofSeconds(10);
    /** Random addition to the takeover delay, so that not all routers try to take a claim over at once. */
    public static final Duration TAKEOVER_SPREAD = Duration.ofSeconds(3);

    private final String router;
    private final String process;

    private ClaimPolicy(String router, String process) {
        this.router = router;
        this.process = process;
    }

    /**
     * Creates a policy.
     *
     * @param router the name of this router
     * @param process distinguishes this process from earlier ones of the same router
     */
    public static ClaimPolicy of(String router, String process) {
        return new ClaimPolicy(router, process);
    }

    /**
     * What a router knows of the limit of one upstream. Immutable.
     *
     * @param claim the claim in the store
     * @param unchangedNanos how long this router has seen the claim unchanged
     * @param spreadNanos this router's random addition to the takeover delay
     * @param advertised the limit that the upstream has advertised to this router and not ended
     * @param listedIncarnation the incarnation of the upstream, or empty if it is not listed
     */
    public record Knowledge(
            Optional<RateLimitClaim> claim,
            long unchangedNanos,
            long spreadNanos,
            OptionalDouble advertised,
            Optional<Long> listedIncarnation) {}

    /** Returns what to do about the claim. */
    public ClaimAction decide(Knowledge knowledge) {
        if (knowledge.claim().isEmpty()) {
            boolean isNeeded = knowledge.advertised().isPresent()
                    && knowledge.listedIncarnation().isPresent();
            return isNeeded ? ClaimAction.CREATE : ClaimAction.NONE;
        }
        RateLimitClaim claim = knowledge.claim().get();
        if (isOwn(claim)) {
            return decideOnOwn(claim, knowledge);
        }
        long delayNanos = (claim.isReleased() ? 0 : TAKEOVER_DELAY.toNanos()) + knowledge.spreadNanos();
        // An earlier process of this router has ended, so it sends nothing more.
        boolean isAbandoned = claim.router().equals(router) || knowledge.unchangedNanos() >= delayNanos;
        return isAbandoned ? ClaimAction.TAKE_OVER : ClaimAction.NONE;
    }

    private static ClaimAction decideOnOwn(RateLimitClaim claim, Knowledge knowledge) {
        if (knowledge.listedIncarnation().isEmpty()) {
            // The entry of an upstream may lapse for a while, and its limit then still holds.
            boolean isGone = knowledge.unchangedNanos() >= TAKEOVER_DELAY.toNanos();
            return isGone ? ClaimAction.REMOVE : ClaimAction.NONE;
        }
        boolean isCurrent = knowledge.listedIncarnation().get() == claim.incarnation();
        if (!isCurrent || knowledge.advertised().isEmpty()) {
            return ClaimAction.REMOVE;
        }
        boolean isChanged = knowledge.advertised().getAsDouble() != claim.perSecond();
        boolean isDue = knowledge.unchangedNanos() >= RENEWAL_PERIOD.toNanos();
        return isChanged || isDue ? ClaimAction.RENEW : ClaimAction.NONE;
    }

    /** Returns whether this process holds the claim. */
    public boolean isOwn(RateLimitClaim claim) {
        return claim.isHeldBy(router, process);
    }

    /** Returns the claim of this router after an action that writes one. */
    public RateLimitClaim claim(Optional<RateLimitClaim> before, long incarnation, double perSecond) {
        return before.filter(this::isOwn)
                .map(claim -> claim.renewed(perSecond))
                .orElseGet(() -> new RateLimitClaim(incarnation, perSecond, router, process, 0));
    }
}
