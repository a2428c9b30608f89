package org.baobabcart.policy.version;

/**
 * The verdict on a new version and its reason. Immutable.
 *
 * @param verdict the verdict
 * @param reason the counts that led to the verdict, as text for operators
 */
public record VersionJudgement(VersionVerdict verdict, String reason) {}
