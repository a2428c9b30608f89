package org.baobabcart.integration.control;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;
import org.baobabcart.launcher.FleetNode;

/** Sends requests in turn to the routers that were ready at the last check, as the platform's balancer does. */
final class ReadinessBalancer implements AutoCloseable {
    private static final int READY = 200;
    private static final long CHECK_MILLIS = 100;

    private final List<FleetNode> routers;
    private final ToIntFunction<FleetNode> readiness;
    private final ScheduledExecutorService checks = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger chosen = new AtomicInteger();
    private volatile List<FleetNode> ready;

    private ReadinessBalancer(List<FleetNode> routers, ToIntFunction<FleetNode> readiness) {
        this.routers = routers;
        this.readiness = readiness;
        this.ready = routers;
    }

    static ReadinessBalancer before(List<FleetNode> routers, ToIntFunction<FleetNode> readiness) {
        ReadinessBalancer balancer = new ReadinessBalancer(routers, readiness);
        balancer.checks.scheduleWithFixedDelay(balancer::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return balancer;
    }

    FleetNode choose() {
        List<FleetNode> now = ready;
        return now.get(Math.floorMod(chosen.getAndIncrement(), now.size()));
    }

    int chosen() {
        return chosen.get();
    }

    @Override
    public void close() {
        checks.shutdownNow();
    }

    private void check() {
        ready = routers.stream().filter(this::isReady).toList();
    }

    private boolean isReady(FleetNode router) {
        try {
            return readiness.applyAsInt(router) == READY;
        } catch (RuntimeException exception) {
            return false;
        }
    }
}
