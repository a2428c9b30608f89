package org.baobabcart.model.sheet;

/** What becomes of a roll-out while no router controls it. */
public enum ControllerLossPolicy {
    /** The share of the current stage stays. */
    REST,
    /** Another router takes control and goes on. */
    CONTINUE
}
