package org.baobabcart.policy.version;

/**
 * What outcomes are counted by. Immutable.
 *
 * @param service the service
 * @param version the version that ran the request
 * @param work the kind of work: a route, and a model where there is one, since a version may be bad on one alone and times of
 *     unlike work can't be compared
 */
public record VersionOutcomeKey(String service, String version, String work) {}
