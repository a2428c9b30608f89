package org.baobabcart.router.document;

import java.time.Duration;

/**
 * Retry settings of a publisher. Immutable.
 *
 * @param maxAttempts the maximum number of attempts to write or read back the document
 * @param retryDelay the delay between two attempts
 */
public record PublishSettings(int maxAttempts, Duration retryDelay) {
    private static final int DEFAULT_MAX_ATTEMPTS = 20;

    /** Returns settings that tolerate a short outage of the platform: 20 attempts at intervals of 250 ms. */
    public static PublishSettings defaults() {
        return new PublishSettings(DEFAULT_MAX_ATTEMPTS, Duration.ofMillis(250));
    }
}
