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
 * The dependencies of {@link AdminApi}. Immutable.
 *
 * @param vertx serves HTTP
 * @param node the router's name
 * @param blackboard holds the control state
 * @param loop runs tasks on the control thread
 * @param timeline keeps the events of this router
 * @param metrics the metrics of the process
 * @param status creates the status report; called on the control thread
 * @param drain starts the planned stop; thread-safe and idempotent
 * @param transport TLS of the port
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
