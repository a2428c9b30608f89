package org.baobabcart.router.relay;

import java.time.Duration;
import java.util.Set;

/**
 * How fresh the news of relays have to be. Immutable.
 *
 * <p>A change takes effect within the bound if both relays fall silent at the worst moment: the limit on the age of their news, the random delay
 * before a list is read, and the read itself add up to less than the bound.
 *
 * @param bound the time within which changes have to take effect
 * @param unboundedKinds the kinds for which that does not hold
 */
public record RelayTiming(Duration bound, Set<String> unboundedKinds) {
    private static final int POLL_NUMERATOR = 11;
    private static final int POLL_DENOMINATOR = 20;
    private static final int HEARTBEAT_DIVISOR = 8;
    private static final int LIMIT_NUMERATOR = 4;
    private static final int LIMIT_DENOMINATOR = 5;
    /** Above the longest time between two answers of the store about a kind without a bound, below the progress timeout of informers. */
    private static final Duration UNBOUNDED_LIMIT = Duration.ofMillis(9_700);

    /** Copies the set. */
    public RelayTiming {
        unboundedKinds = Set.copyOf(unboundedKinds);
    }

    /** Returns the time between two lines that tell how old a relay's news are. */
    Duration heartbeat() {
        return bound.dividedBy(HEARTBEAT_DIVISOR);
    }

    /** Returns the longest time without a line after which a relay counts as silent. */
    Duration silenceLimit() {
        return bound.multipliedBy(LIMIT_NUMERATOR).dividedBy(LIMIT_DENOMINATOR);
    }

    /** Returns whether changes of a kind have to take effect within the bound. */
    boolean isBounded(String kind) {
        return !unboundedKinds.contains(kind);
    }

    /** Returns the age at which news of a kind no longer suffice. */
    Duration ageLimit(String kind) {
        return isBounded(kind) ? silenceLimit() : UNBOUNDED_LIMIT;
    }

    /** Returns the longest time from one answer of the store to a relay to the next. */
    Duration longestPoll(String kind) {
        return isBounded(kind) ? pollInterval() : UNBOUNDED_LIMIT;
    }

    /** Returns the longest time from one answer of the store to a relay to the next, for kinds with a bound. */
    Duration pollInterval() {
        return bound.multipliedBy(POLL_NUMERATOR).dividedBy(POLL_DENOMINATOR);
    }
}
