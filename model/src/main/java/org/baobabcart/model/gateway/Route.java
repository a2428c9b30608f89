package org.baobabcart.model.gateway;

import java.time.Duration;
import java.util.List;

/**
 * One route of the opaque request path. Immutable.
 *
 * @param name the route's name
 * @param host the host that requests name
 * @param pathPrefix the beginning of their path, with a slash at both ends
 * @param services the services that run them, in the operator's order; never empty
 * @param retryPolicy what may be repeated
 * @param timeout the longest time that a caller is kept waiting
 * @param latencyTarget the time to the answer, or to its first event, that the operator asks for
 * @param eventGapTarget the longest pause between two events that the operator asks for; zero where none is set
 * @param maxAttempts the most upstreams that one request is sent to
 * @param rank the urgency, zero being the most urgent
 * @param anonymous whether callers need no key
 * @param prefixAffinity whether requests with a common prompt prefix should meet at one upstream
 * @param sizes the models to choose from, the smallest first; empty where the caller names the model
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
     * The service for a request.
     *
     * @param point a number from 0 (inclusive) to 1 (exclusive) that is drawn for the request
     */
    public String selectService(double point) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = point * total;
        for (WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /** Whether the operator lets the service run requests of this route. */
    public boolean allows(String service) {
        return services.stream().anyMatch(candidate -> candidate.service().equals(service) && candidate.weight() > 0);
    }
}
