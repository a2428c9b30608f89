package org.baobabcart.policy.version;

/**
 * A kind of requestClass on one version of a service. Immutable.
 *
 * @param version the version that ran it
 * @param requestClass a route, and a model where there is one, since a version may be bad on one alone and times of unlike requestClass can't be
 *     compared
 */
public record VersionRequestClass(String version, String requestClass) {}
