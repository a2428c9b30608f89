package org.baobabcart.load;

/** Strategy that selects the target of a request. */
public enum TargetChoice {
    /** Uses the targets in turn. */
    ROUND_ROBIN,
    /** Uses the target with the fewest active requests of this generator. */
    LEAST_REQUEST
}
