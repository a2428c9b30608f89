package org.baobabcart.policy.configuration;

/** A field of a configuration's entries. A codec names it as its format does. */
public enum EntryField {
    /** The version of the configuration. */
    VERSION,
    /** The path prefix of a route. */
    ROUTE_PREFIX,
    /** All services of a route. */
    ROUTE_SERVICES,
    /** One service of a route; the part is its index. */
    ROUTE_SERVICE,
    /** The weight of a service of a route; the part is its index. */
    ROUTE_WEIGHT,
    /** The time-out of a route. */
    ROUTE_TIMEOUT,
    /** The latency target of a route. */
    ROUTE_LATENCY_TARGET,
    /** The target of a route for the time between two events. */
    ROUTE_GAP_TARGET,
    /** The maximum number of attempts of a route. */
    ROUTE_ATTEMPTS,
    /** The name of a service. */
    SERVICE_NAME,
    /** The warm-up of a service. */
    SERVICE_WARM_UP,
    /** The keys of a holder. */
    TENANT_KEYS,
    /** One key of a holder; the part is its index. */
    TENANT_KEY,
    /** The limit of a request's headers. */
    LIMIT_HEADER_BYTES,
    /** The limit of a request's body. */
    LIMIT_BODY_BYTES,
    /** The time within which a request must arrive. */
    LIMIT_HEADER_TIMEOUT,
    /** The time after which an idle connection is closed. */
    LIMIT_IDLE_TIMEOUT
}
