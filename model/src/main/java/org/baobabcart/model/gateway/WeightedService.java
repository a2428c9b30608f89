package org.baobabcart.model.gateway;

/**
 * A service of a route, with its weight. Immutable.
 *
 * @param service the service's name
 * @param weight the share, finite and from 0, of the route's requests, relative to the weights of its other services
 */
public record WeightedService(String service, double weight) {}
