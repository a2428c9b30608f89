package org.baobabcart.router.order;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.testing.ManualTimerService;

/**
 * Simulated engines that take some seconds to load a version and may or may not check fencing numbers. The link to them
 * can fail.
 */
final class FakeEngines implements EngineOrderClient {

    /** Behaviour of the link to the engines. */
    enum Link {
        OPEN,
        BROKEN,
        LOSES_RESPONSES,
        REFUSES,
        DELAYED
    }

    record Arrival(String engine, String orderId, long fencing, String version, long atNanos) {}

    private final ManualTimerService timers;
    private final Map<String, VirtualMachine> machines = new TreeMap<>();
    private final Map<String, Long> highestFencing = new TreeMap<>();
    private final Set<String> executed = new HashSet<>();
    private final List<Runnable> delayedSends = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    private Link link = Link.OPEN;
    private Duration loadTime = Duration.ofSeconds(5);
    private int sendCount;

    FakeEngines(ManualTimerService timers) {
        this.timers = timers;
    }

    void add(String name, String version, boolean checksFencing) {
        VirtualMachine machine = new VirtualMachine(
                name,
                VirtualMachine.Role.ENGINE,
                "a",
                VirtualMachine.State.LIVE,
                "http://127.0.0.1:1",
                "layout",
                version,
                "");
        machines.put(name, machine.withChecksFencing(checksFencing));
    }

    List<VirtualMachine> machines() {
        return List.copyOf(machines.values());
    }

    long servingCount(String version) {
        return machines.values().stream()
                .filter(machine -> machine.version().equals(version))
                .count();
    }

    void setHighestFencing(String name, long fencing) {
        highestFencing.put(name, fencing);
    }

    void setLoadTime(Duration newLoadTime) {
        loadTime = newLoadTime;
    }

    void setLink(Link newLink) {
        link = newLink;
    }

    void deliverDelayed() {
        List.copyOf(delayedSends).forEach(Runnable::run);
        delayedSends.clear();
    }

    int sendCount() {
        return sendCount;
    }

    int executed() {
        return executed.size();
    }

    /** Returns the orders that reached an engine after one with a higher fencing number. */
    List<Arrival> arrivedOutOfOrder() {
        Map<String, Long> greatest = new TreeMap<>();
        List<Arrival> outOfOrder = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            long before = greatest.getOrDefault(arrival.engine(), 0L);
            if (arrival.fencing() < before) {
                outOfOrder.add(arrival);
            }
            greatest.put(arrival.engine(), Math.max(before, arrival.fencing()));
        }
        return outOfOrder;
    }

    @Override
    public Uni<OrderSendResult> send(VirtualMachine engine, EngineOrder order, BooleanSupplier mayAct) {
        sendCount++;
        if (link == Link.DELAYED) {
            CompletableFuture<OrderSendResult> result = new CompletableFuture<>();
            delayedSends.add(() -> result.complete(deliver(engine.name(), order, mayAct)));
            return Uni.createFrom().completionStage(result);
        }
        return Uni.createFrom()
                .item(link == Link.BROKEN ? OrderSendResult.UNKNOWN : deliver(engine.name(), order, mayAct));
    }

    private OrderSendResult deliver(String name, EngineOrder order, BooleanSupplier mayAct) {
        if (!mayAct.getAsBoolean()) {
            return OrderSendResult.NOT_SENT;
        }
        arrivals.add(new Arrival(name, order.orderId(), order.fencing(), order.version(), timers.nanoTime()));
        if (link == Link.REFUSES) {
            return OrderSendResult.REFUSED;
        }
        if (machines.get(name).checksFencing() && order.fencing() < highestFencing.getOrDefault(name, 0L)) {
            return OrderSendResult.STALE;
        }
        highestFencing.merge(name, order.fencing(), Math::max);
        if (executed.add(order.orderId())) {
            timers.after("load", loadTime, () -> serve(name, order.version()));
        }
        return link == Link.LOSES_RESPONSES ? OrderSendResult.UNKNOWN : OrderSendResult.ACCEPTED;
    }

    private void serve(String name, String version) {
        VirtualMachine before = machines.get(name);
        add(name, version, before.checksFencing());
    }
}
