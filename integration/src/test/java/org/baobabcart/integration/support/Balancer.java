package org.baobabcart.integration.support;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.result.BaobabcartException;

/** Stands for the platform's balancer: it sends callers to routers that said that they are ready when last asked. */
public final class Balancer implements AutoCloseable {
    private static final long PERIOD_NANOS = 100_000_000;

    private final ServingFleet fleet;
    private final Thread thread = new Thread(this::poll, "balancer");
    private volatile List<FleetNode> ready;
    private volatile boolean ending;

    private Balancer(ServingFleet fleet) {
        this.fleet = fleet;
        this.ready = fleet.routers();
    }

    public static Balancer start(ServingFleet fleet) {
        Balancer balancer = new Balancer(fleet);
        balancer.thread.start();
        return balancer;
    }

    public FleetNode next() {
        List<FleetNode> choice = ready;
        return choice.get(ThreadLocalRandom.current().nextInt(choice.size()));
    }

    @Override
    public void close() {
        ending = true;
    }

    private void poll() {
        while (!ending) {
            List<FleetNode> answering =
                    fleet.routers().stream().filter(this::isReady).toList();
            ready = answering.isEmpty() ? ready : answering;
            LockSupport.parkNanos(PERIOD_NANOS);
        }
    }

    private boolean isReady(FleetNode router) {
        try {
            return fleet.isReady(router);
        } catch (BaobabcartException exception) {
            return false;
        }
    }
}
