package org.baobabcart.router.admin;

import java.util.List;
import org.baobabcart.router.timeline.TimelineEvent;

/**
 * The response of the {@code /timeline} endpoint. Immutable.
 *
 * @param node the name of the router
 * @param events the matching events, the oldest first
 */
record TimelineReport(String node, List<TimelineEvent> events) {}
