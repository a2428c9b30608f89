package org.baobabcart.policy.departure;

/**
 * What a router expects of the upstreams of a pool in one data centre. Immutable.
 *
 * @param dataCentre the name of the data centre
 * @param local whether it is the router's own
 * @param freePlaces the places at its usable upstreams that the router has not filled; positive
 * @param expectedNanos the expected time to the first byte, including the way there
 */
public record DataCentreOutlook(String dataCentre, boolean local, int freePlaces, double expectedNanos) {}
