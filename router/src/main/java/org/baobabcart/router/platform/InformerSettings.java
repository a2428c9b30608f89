package org.baobabcart.router.platform;

import java.time.Duration;

/**
 * Settings of an informer. Immutable.
 *
 * @param initialRetryDelay the delay after the first failure
 * @param maxRetryDelay the upper bound of the exponential retry delay
 * @param removalGrace how long after the end of an outage an object that disappeared during it is kept
 * @param progressTimeout how long the informer may hear nothing, not even the failure of a call, before it starts afresh
 */
public record InformerSettings(
        Duration initialRetryDelay, Duration maxRetryDelay, Duration removalGrace, Duration progressTimeout) {
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
    /**
     * Shorter than the time within which a change has to take effect, so that the end of an outage is detected in time.
     */
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(600);

    /** Longer than any call to the platform takes until it fails. */
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(10);

    /** Returns settings for objects whose removal takes effect immediately. */
    public static InformerSettings defaults() {
        return new InformerSettings(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, Duration.ZERO, PROGRESS_TIMEOUT);
    }

    /** Returns these settings for objects that may expire during an outage of the platform. */
    public InformerSettings withRemovalGrace(Duration newRemovalGrace) {
        return new InformerSettings(initialRetryDelay, maxRetryDelay, newRemovalGrace, progressTimeout);
    }
}
