package org.baobabcart.policy.version;

/**
 * A version of a service together with a class of requests. Immutable.
 *
 * @param version the version that ran the requests
 * @param requestClass the route, and the model if there is one; a version may be bad for one class only, and latencies
 *     of different classes are not comparable
 */
public record VersionRequestClass(String version, String requestClass) {}
