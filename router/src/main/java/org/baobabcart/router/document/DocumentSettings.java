package org.baobabcart.router.document;

import java.time.Duration;

/**
 * Settings of the replication of documents. Immutable.
 *
 * @param watchersPerDataCentre the number of routers of a data centre that watch the document
 * @param directReadPeriod the average period at which every router reads the document directly
 * @param fetchTimeout the timeout of a fetch from a peer
 * @param initialRetryDelay the delay before the first retry after a failed platform call
 * @param maxRetryDelay the upper bound of the exponential retry delay
 */
public record DocumentSettings(
        int watchersPerDataCentre,
        Duration directReadPeriod,
        Duration fetchTimeout,
        Duration initialRetryDelay,
        Duration maxRetryDelay) {
    /** Returns settings for a platform that responds in milliseconds and meters each call. */
    public static DocumentSettings defaults() {
        return new DocumentSettings(
                2, Duration.ofSeconds(60), Duration.ofSeconds(2), Duration.ofMillis(200), Duration.ofSeconds(5));
    }
}
