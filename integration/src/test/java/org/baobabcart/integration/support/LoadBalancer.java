package org.baobabcart.integration.support;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.result.BaobabcartException;

/** Sends callers in turn to the routers that were ready at the last check, as the platform's balancer does. */
public final class LoadBalancer implements AutoCloseable {
    private static final int READY = 200;
    private static final long CHECK_MILLIS = 100;

    private final LocalFleet fleet;
    private final List<FleetNode> routers;
    private final ScheduledExecutorService checks = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger chosen = new AtomicInteger();
    private volatile List<FleetNode> ready;

    private LoadBalancer(LocalFleet fleet, List<FleetNode> routers) {
        this.fleet = fleet;
        this.routers = routers;
        this.ready = routers;
    }

    public static LoadBalancer before(LocalFleet fleet, List<FleetNode> routers) {
        LoadBalancer balancer = new LoadBalancer(fleet, routers);
        balancer.checks.scheduleWithFixedDelay(balancer::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return balancer;
    }

    public FleetNode choose() {
        List<FleetNode> now = ready;
        return now.get(Math.floorMod(chosen.getAndIncrement(), now.size()));
    }

    public int chosen() {
        return chosen.get();
    }

    @Override
    public void close() {
        checks.shutdownNow();
    }

    private void check() {
        List<FleetNode> answering = routers.stream().filter(this::isReady).toList();
        ready = answering.isEmpty() ? ready : answering;
    }

    private boolean isReady(FleetNode router) {
        try {
            return fleet.calls().get(router.admin() + "/readyz").status() == READY;
        } catch (BaobabcartException exception) {
            return false;
        }
    }
}
