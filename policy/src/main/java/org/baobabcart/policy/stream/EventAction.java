package org.baobabcart.policy.stream;

/** What to do with an event that an upstream has sent. */
public enum EventAction {
    /** Relay the event to the caller. */
    RELAY,
    /** Drop the event, since the caller has it already. */
    DROP,
    /** End the attempt, since the event's position in the stream is unknown or contradicts its id. */
    BREAK_OFF
}
