package org.baobabcart.model.gateway;

import java.time.Duration;
import java.util.List;

/**
 * One route of the opaque request path. Immutable.
 *
 * @param name the route's name
 * @param host the host name of its requests
 * @param pathPrefix the prefix of the path, with a leading and a trailing slash
 * @param services the services that execute the requests, in the configured order; never empty
 * @param retryPolicy whether requests may be sent again
 * @param timeout the maximum time until the caller gets the complete response
 * @param latencyTarget the target time to the response or, for streams, to the first event
 * @param eventGapTarget the target for the longest time between two events; zero if none is configured
 * @param maxAttempts the maximum number of attempts of one request
 * @param rank the priority; zero is the most urgent
 * @param anonymous whether callers may omit the API key
 * @param prefixAffinity whether requests with a common prompt prefix are preferably sent to the same upstream
 * @param sizes the models to choose from, smallest first; empty if the caller names the model
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> services,
        RetryPolicy retryPolicy,
        Duration timeout,
        Duration latencyTarget,
        Duration eventGapTarget,
        int maxAttempts,
        int rank,
        boolean anonymous,
        boolean prefixAffinity,
        List<String> sizes) {
    /** Copies the lists. */
    public Route {
        services = List.copyOf(services);
        sizes = List.copyOf(sizes);
    }

    /**
     * Selects a service in proportion to the weights.
     *
     * @param point a random number from 0 (inclusive) to 1 (exclusive)
     */
    public String selectService(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = point * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /** Returns whether the service has a positive weight on this route. */
    public boolean allows(String service) {
        return services.stream().anyMatch(candidate -> candidate.service().equals(service) && candidate.weight() > 0);
    }
}
