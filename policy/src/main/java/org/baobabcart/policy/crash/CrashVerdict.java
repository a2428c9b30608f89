package org.baobabcart.policy.crash;

/** What the observed crashes say of a request. */
public enum CrashVerdict {
    /** No crash accuses the request. */
    CLEAR,
    /** The request, or a part of its prompt, was at an upstream that crashed, and no answer to such a request has begun since. */
    SUSPECT,
    /** The request crashes upstreams. */
    QUARANTINED
}
