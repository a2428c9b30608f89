package org.baobabcart.policy.configuration;

/**
 * A finding about one value of a configuration. It contains no keys. Immutable.
 *
 * @param kind what is wrong
 * @param place where it is
 * @param message what is wrong, in words
 */
public record ConfigurationFinding(FindingKind kind, EntryPlace place, String message) {}
