package org.baobabcart.policy.version;

/** What is known of a new version. */
public enum VersionVerdict {
    /** Too little to say anything. */
    UNKNOWN,
    /** It may be worse than the others; more answers will tell. */
    SUSPECT,
    /** Enough answers, none of which speaks against it. */
    SOUND,
    /** It is worse than the others. */
    BAD
}
