package org.baobabcart.router.admin;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.router.transport.Transport;

/**
 * The parts that the operators' API works with. Immutable.
 *
 * @param vertx serves HTTP
 * @param node the router's name
 * @param blackboard control state
 * @param loop runs tasks on the control thread
 * @param timeline events
 * @param metrics metrics of the process
 * @param status makes the status report; called on the control thread
 * @param drain begins the planned stop; any thread may call it, more than once
 * @param transport how connections are made
 */
public record AdminDependencies(
        Vertx vertx,
        String node,
        Blackboard blackboard,
        Executor loop,
        RingTimeline timeline,
        MetricRegistry metrics,
        Supplier<JsonNode> status,
        Runnable drain,
        Transport transport) {}
