package org.baobabcart.router.document;

import java.time.Duration;

/**
 * How persistently a document is published. Immutable.
 *
 * @param maxAttempts the greatest number of calls that write or read back
 * @param retryDelay the time between two of them
 */
public record PublishSettings(int maxAttempts, Duration retryDelay) {
    private static final int DEFAULT_MAX_ATTEMPTS = 20;

    /** Settings that outlast a short disturbance of the platform. */
    public static PublishSettings defaults() {
        return new PublishSettings(DEFAULT_MAX_ATTEMPTS, Duration.ofMillis(250));
    }
}
