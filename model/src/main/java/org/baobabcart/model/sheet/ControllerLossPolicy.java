package org.baobabcart.model.sheet;

/** What happens to a roll-out while no router controls it. */
public enum ControllerLossPolicy {
    /** The share of the current stage remains in force. */
    REST,
    /** Another router takes over the roll-out and continues it. */
    CONTINUE
}
