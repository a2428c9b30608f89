package org.baobabcart.policy.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class ClaimPolicyTest {
    private static final OptionalDouble LIMIT = OptionalDouble.of(1.3);
    private static final Optional<Long> INCARNATION = Optional.of(7L);
    private static final RateLimitClaim OWN = new RateLimitClaim(7, 1.3, "a", "p", 0);
    private static final RateLimitClaim OTHER = new RateLimitClaim(7, 1.3, "b", "q", 0);

    private final ClaimPolicy policy = ClaimPolicy.of("a", "p");

    @Test
    void limitWithoutClaimIsClaimed() {
        assertThat(decide(Optional.empty(), 0, LIMIT, INCARNATION), is(ClaimAction.CREATE));
        assertThat(decide(Optional.empty(), 0, OptionalDouble.empty(), INCARNATION), is(ClaimAction.NONE));
        assertThat(decide(Optional.empty(), 0, LIMIT, Optional.empty()), is(ClaimAction.NONE));
    }

    @Test
    void ownClaimIsRenewedAndFollowsTheLimit() {
        assertThat(decide(Optional.of(OWN), 1, LIMIT, INCARNATION), is(ClaimAction.NONE));
        assertThat(decide(Optional.of(OWN), 3, LIMIT, INCARNATION), is(ClaimAction.RENEW));
        assertThat(decide(Optional.of(OWN), 0, OptionalDouble.of(0.4), INCARNATION), is(ClaimAction.RENEW));
    }

    @Test
    void ownClaimIsRemovedAtTheEndOfTheLimitOrOfTheUpstream() {
        assertThat(decide(Optional.of(OWN), 0, OptionalDouble.empty(), INCARNATION), is(ClaimAction.REMOVE));
        assertThat(decide(Optional.of(OWN), 0, LIMIT, Optional.of(8L)), is(ClaimAction.REMOVE));
    }

    /** Entries of upstreams lapse while the store is away, and the limits of those that come back still hold. */
    @Test
    void ownClaimOutlastsAShortAbsenceOfTheUpstream() {
        assertThat(decide(Optional.of(OWN), 9, LIMIT, Optional.empty()), is(ClaimAction.NONE));
        assertThat(decide(Optional.of(OWN), 10, LIMIT, Optional.empty()), is(ClaimAction.REMOVE));
    }

    @Test
    void claimOfAnotherRouterIsTakenOverOnlyAfterItHasLapsed() {
        assertThat(decide(Optional.of(OTHER), 9, LIMIT, INCARNATION), is(ClaimAction.NONE));
        assertThat(decide(Optional.of(OTHER), 10, LIMIT, INCARNATION), is(ClaimAction.TAKE_OVER));
        assertThat(ClaimPolicy.VALIDITY, lessThan(ClaimPolicy.TAKEOVER_DELAY));
    }

    @Test
    void releasedClaimIsTakenOverAtOnce() {
        assertThat(decide(Optional.of(OTHER.released()), 0, LIMIT, INCARNATION), is(ClaimAction.TAKE_OVER));
    }

    @Test
    void claimOfAnEarlierProcessOfThisRouterIsTakenOverAtOnce() {
        RateLimitClaim earlier = new RateLimitClaim(7, 1.3, "a", "o", 0);
        assertThat(decide(Optional.of(earlier), 0, LIMIT, INCARNATION), is(ClaimAction.TAKE_OVER));
    }

    private ClaimAction decide(
            Optional<RateLimitClaim> claim,
            int unchangedSeconds,
            OptionalDouble advertised,
            Optional<Long> incarnation) {
        long unchanged = Duration.ofSeconds(unchangedSeconds).toNanos();
        return policy.decide(new ClaimPolicy.Knowledge(claim, unchanged, 0, advertised, incarnation));
    }
}
