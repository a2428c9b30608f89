package org.baobabcart.policy.version;

/**
 * What evidence says of a new version. Immutable.
 *
 * @param verdict the verdict
 * @param reason the counts that it rests on, as text for operators
 */
public record VersionJudgement(VersionVerdict verdict, String reason) {}
