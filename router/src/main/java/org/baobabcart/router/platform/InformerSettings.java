package org.baobabcart.router.platform;

import java.time.Duration;

/**
 * How a kind of objects is followed. Immutable.
 *
 * @param initialRetryDelay the pause after the first failure
 * @param maxRetryDelay the longest pause between two tries
 * @param removalGrace how long an object that vanished while the platform was out of reach may take to come back
 */
public record InformerSettings(Duration initialRetryDelay, Duration maxRetryDelay, Duration removalGrace) {
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
    /** Below the time in which a change has to be in force, so that an outage's end is noticed in time. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(600);

    /** Settings for objects whose removal counts at once. */
    public static InformerSettings defaults() {
        return new InformerSettings(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, Duration.ZERO);
    }

    /** The same settings for objects that may lapse while the platform is away. */
    public InformerSettings withRemovalGrace(Duration newRemovalGrace) {
        return new InformerSettings(initialRetryDelay, maxRetryDelay, newRemovalGrace);
    }
}
