package org.baobabcart.model.gateway;

/**
 * A service that takes a share of a route's requests. Immutable.
 *
 * @param service the service's name
 * @param weight the share, relative to the weights of the other services of the route
 */
public record WeightedService(String service, int weight) {}
