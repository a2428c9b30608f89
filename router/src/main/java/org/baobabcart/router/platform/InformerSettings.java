package org.baobabcart.router.platform;

import java.time.Duration;

/**
 * How a kind of objects is followed. Immutable.
 *
 * @param firstRetry the pause after the first failure
 * @param longestRetry the longest pause between two tries
 * @param returnGrace how long an object that vanished while the platform was out of reach may take to come back
 */
public record InformerSettings(Duration firstRetry, Duration longestRetry, Duration returnGrace) {
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    /** Below the time in which a change has to be in force, so that an outage's end is noticed in time. */
    private static final Duration LONGEST_RETRY = Duration.ofMillis(600);

    /** Settings for objects whose removal counts at once. */
    public static InformerSettings defaults() {
        return new InformerSettings(FIRST_RETRY, LONGEST_RETRY, Duration.ZERO);
    }

    /** The same settings for objects that may lapse while the platform is away. */
    public InformerSettings withReturnGrace(Duration newReturnGrace) {
        return new InformerSettings(firstRetry, longestRetry, newReturnGrace);
    }
}
