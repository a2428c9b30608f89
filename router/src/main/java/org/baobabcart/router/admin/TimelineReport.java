package org.baobabcart.router.admin;

import java.util.List;
import org.baobabcart.router.timeline.TimelineEvent;

/**
 * The answer of the time line's endpoint. Immutable.
 *
 * @param node the router that answers
 * @param events its events, the oldest first
 */
record TimelineReport(String node, List<TimelineEvent> events) {}
