package org.baobabcart.model.gateway;

/**
 * What the operator says of a service's upstreams. Immutable.
 *
 * @param name the service's name
 * @param healthPath the path of the health check
 * @param connectionLimit the most connections that one upstream accepts from all callers together
 * @param slots the requests that one upstream runs at once; zero where the upstreams state it themselves
 * @param memoryTokens the tokens that fit one engine's memory; zero for services without a model
 */
public record PooledService(String name, String healthPath, int connectionLimit, int slots, long memoryTokens) {}
