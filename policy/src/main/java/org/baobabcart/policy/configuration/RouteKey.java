package org.baobabcart.policy.configuration;

import org.baobabcart.model.gateway.Route;

/** The host and path prefix that select a route. Immutable. */
record RouteKey(String host, String prefix) {
    static RouteKey of(Route route) {
        return new RouteKey(route.host(), route.pathPrefix());
    }

    @Override
    public String toString() {
        return host + prefix;
    }
}
