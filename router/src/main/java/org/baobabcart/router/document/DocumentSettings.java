package org.baobabcart.router.document;

import java.time.Duration;

/**
 * Times of the spreading of documents. Immutable.
 *
 * @param watchersPerDataCentre how many routers of a data centre hold the watch
 * @param directReadPeriod how often every router reads the document directly, on average
 * @param fetchTimeout how long the fetch from a peer may take
 * @param initialRetryDelay how long after a failure the platform is asked again
 * @param maxRetryDelay the bound of the growing time between tries
 */
public record DocumentSettings(
        int watchersPerDataCentre,
        Duration directReadPeriod,
        Duration fetchTimeout,
        Duration initialRetryDelay,
        Duration maxRetryDelay) {
    /** Settings for a platform that answers in milliseconds and counts each call. */
    public static DocumentSettings defaults() {
        return new DocumentSettings(
                2, Duration.ofSeconds(60), Duration.ofSeconds(2), Duration.ofMillis(200), Duration.ofSeconds(5));
    }
}
