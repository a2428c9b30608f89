package org.baobabcart.integration.support;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.result.BaobabcartException;

/** Selects, in turn, the routers that were ready at the last health check, as the platform's load balancer does. */
public final class LoadBalancer implements AutoCloseable {
    private static final int READY = 200;
    private static final long CHECK_MILLIS = 100;

    private final LocalFleet fleet;
    private final List<FleetNode> routers;
    private final ScheduledExecutorService checks = Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger selections = new AtomicInteger();
    private volatile List<FleetNode> ready;

    private LoadBalancer(LocalFleet fleet, List<FleetNode> routers) {
        this.fleet = fleet;
        this.routers = routers;
        this.ready = routers;
    }

    public static LoadBalancer create(LocalFleet fleet, List<FleetNode> routers) {
        LoadBalancer balancer = new LoadBalancer(fleet, routers);
        balancer.checks.scheduleWithFixedDelay(balancer::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return balancer;
    }

    public FleetNode nextRouter() {
        List<FleetNode> now = ready;
        return now.get(Math.floorMod(selections.getAndIncrement(), now.size()));
    }

    public int selections() {
        return selections.get();
    }

    @Override
    public void close() {
        checks.shutdownNow();
    }

    private void check() {
        List<FleetNode> responding = routers.stream().filter(this::isReady).toList();
        ready = responding.isEmpty() ? ready : responding;
    }

    private boolean isReady(FleetNode router) {
        try {
            return fleet.calls().get(router.admin() + "/readyz").status() == READY;
        } catch (BaobabcartException exception) {
            return false;
        }
    }
}
