package org.baobabcart.router.timeline;

/**
 * One event of the time line. Immutable.
 *
 * @param clock the reading of the hybrid logical clock, by which events of several nodes are ordered
 * @param wallClockMillis milliseconds since the epoch on the node's clock, for people
 * @param node the node that recorded it
 * @param type what happened
 * @param requestId the request concerned, or empty
 * @param detail what the event states
 */
public record TimelineEvent(
        long clock, long wallClockMillis, String node, EventType type, String requestId, EventFields detail) {}
