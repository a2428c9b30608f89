package org.baobabcart.policy.configuration;

/**
 * What a new configuration does to requests that the one before did not. It contains no keys. Immutable.
 *
 * @param effect what is done
 * @param subject the route, workspace or service that it is done to
 * @param message the effect in words
 */
public record ConfigurationChange(Effect effect, String subject, String message) {
    /** The kinds of effects. */
    public enum Effect {
        /** Requests of a host and prefix have a route of their own. */
        ROUTE_ADDED,
        /** Requests of a host and prefix no longer have a route of their own. */
        ROUTE_DROPPED,
        /** Requests are sent to other services or in other shares. */
        ROUTE_MOVED,
        /** Time-outs, targets, attempts or permissions of a route change. */
        ROUTE_CHANGED,
        /** Keys are accepted that were not. */
        KEYS_ADDED,
        /** Keys are no longer accepted. */
        KEYS_WITHDRAWN,
        /** Keys belong to another workspace or have another rank. */
        KEYS_MOVED,
        /** Requests need keys that did not, or the reverse. */
        KEYS_REQUIRED,
        /** The health check or warm-up of a service changes. */
        SERVICE_CHANGED,
        /** Limits of callers change. */
        LIMITS_CHANGED
    }
}
