package org.baobabcart.policy.version;

/**
 * What outcomes are counted by. Immutable.
 *
 * @param service the service
 * @param version the version that ran the request
 * @param route the route, since a version may be bad on one route alone
 */
public record VersionOutcomeKey(String service, String version, String route) {}
