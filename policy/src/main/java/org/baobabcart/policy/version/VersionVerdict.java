package org.baobabcart.policy.version;

/** A verdict on a new version. */
public enum VersionVerdict {
    /** There is not enough evidence. */
    UNKNOWN,
    /** The version may be worse than the others; more answers are needed. */
    SUSPECT,
    /** There are enough answers and no evidence against the version. */
    SOUND,
    /** The version is worse than the others. */
    BAD
}
