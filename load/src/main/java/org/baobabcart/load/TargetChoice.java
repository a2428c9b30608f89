package org.baobabcart.load;

/** Which target a request goes to. */
public enum TargetChoice {
    /** One after the other. */
    ROUND_ROBIN,
    /** The one with the fewest requests of this generator under way. */
    LEAST_REQUEST
}
