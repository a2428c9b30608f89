package org.baobabcart.router.fleet;

/**
 * A router as its registration tells it. Immutable.
 *
 * @param name the router's name, which stays the same across restarts
 * @param dataCentre the name of its data centre
 * @param address {@code host:port} at which other routers reach it; empty if it accepts no calls of them
 * @param sinceNanos when this process first saw the registration, by its steady clock
 */
public record FleetMember(String name, String dataCentre, String address, long sinceNanos) {}
