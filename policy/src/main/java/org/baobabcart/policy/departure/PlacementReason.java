package org.baobabcart.policy.departure;

/** Why a request was assigned to an upstream in the router's own or in another data centre. */
public enum PlacementReason {
    /** It stays in the router's own data centre. */
    LOCAL,
    /** The router's own data centre has no usable upstream with a free place. */
    NONE_LOCAL,
    /** Upstreams in the router's own data centre respond noticeably later or fail more often. */
    SLOWER,
    /** The upstream elsewhere has cached the prompt's shared parts, and reading them again takes longer than the way. */
    PROMPT_CACHED
}
