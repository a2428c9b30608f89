package org.baobabcart.policy.limit;

/** What a router does about the claim on an upstream with a rate limit. */
public enum ClaimAction {
    NONE,
    /** Create a claim of its own. */
    CREATE,
    /** Write its own claim again, so that others see that it lives. */
    RENEW,
    /** Replace the claim of a router that no longer renews it. */
    TAKE_OVER,
    /** Remove its own claim, because the limit has ended. */
    REMOVE
}
