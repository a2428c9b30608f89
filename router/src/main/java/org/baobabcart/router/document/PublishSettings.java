package org.baobabcart.router.document;

import java.time.Duration;

/**
 * How persistently a document is published. Immutable.
 *
 * @param attempts the greatest number of calls that write or read back
 * @param pause the time between two of them
 */
public record PublishSettings(int attempts, Duration pause) {
    private static final int DEFAULT_ATTEMPTS = 20;

    /** Settings that outlast a short disturbance of the platform. */
    public static PublishSettings defaults() {
        return new PublishSettings(DEFAULT_ATTEMPTS, Duration.ofMillis(250));
    }
}
