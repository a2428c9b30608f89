package org.baobabcart.policy.configuration;

import java.util.Locale;
import org.baobabcart.model.gateway.Route;

/** The host, in lower case, and path prefix that select a route. Immutable. */
record RouteKey(String host, String prefix) {
    static RouteKey of(Route route) {
        return new RouteKey(route.host().toLowerCase(Locale.ROOT), route.pathPrefix());
    }

    @Override
    public String toString() {
        return host + prefix;
    }
}
