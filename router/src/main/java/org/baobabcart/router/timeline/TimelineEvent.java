package org.baobabcart.router.timeline;

/**
 * An event on the time line. Immutable.
 *
 * @param clock the timestamp of the hybrid logical clock, which orders the events of several nodes; in
 *     a log, the number of the line
 * @param wallClockMillis milliseconds since the epoch on the node's wall clock, for display
 * @param node the name of the node that recorded the event
 * @param type the type of the event
 * @param requestId the id of the request concerned, or empty
 * @param detail the fields of the event
 */
public record TimelineEvent(
        long clock, long wallClockMillis, String node, EventType type, String requestId, EventFields detail) {}
