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

/** Engines that load for some seconds, with or without a check of fencing numbers, and ways to them that fail. */
final class FakeEngines implements EngineOrderClient {

    /** How the way to the engines behaves. */
    enum Way {
        OPEN,
        BROKEN,
        LOSES_ANSWERS,
        REFUSES,
        HELD
    }

    record Arrival(String engine, String orderId, long fencing, String version, long atNanos) {}

    private final ManualTimerService timers;
    private final Map<String, VirtualMachine> machines = new TreeMap<>();
    private final Map<String, Long> highest = new TreeMap<>();
    private final Set<String> obeyed = new HashSet<>();
    private final List<Runnable> heldSends = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    private Way way = Way.OPEN;
    private Duration loadTime = Duration.ofSeconds(5);
    private int attempts;

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

    long serving(String version) {
        return machines.values().stream()
                .filter(machine -> machine.version().equals(version))
                .count();
    }

    void haveSeen(String name, long fencing) {
        highest.put(name, fencing);
    }

    void setLoadTime(Duration newLoadTime) {
        loadTime = newLoadTime;
    }

    void setWay(Way newWay) {
        way = newWay;
    }

    void releaseHeld() {
        List.copyOf(heldSends).forEach(Runnable::run);
        heldSends.clear();
    }

    int attempts() {
        return attempts;
    }

    int obeyed() {
        return obeyed.size();
    }

    /** Orders that reached an engine after one of a greater number. */
    List<Arrival> outOfOrder() {
        Map<String, Long> greatest = new TreeMap<>();
        List<Arrival> late = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            long before = greatest.getOrDefault(arrival.engine(), 0L);
            if (arrival.fencing() < before) {
                late.add(arrival);
            }
            greatest.put(arrival.engine(), Math.max(before, arrival.fencing()));
        }
        return late;
    }

    @Override
    public Uni<OrderSendResult> send(VirtualMachine engine, EngineOrder order, BooleanSupplier mayAct) {
        attempts++;
        if (way == Way.HELD) {
            CompletableFuture<OrderSendResult> answer = new CompletableFuture<>();
            heldSends.add(() -> answer.complete(write(engine.name(), order, mayAct)));
            return Uni.createFrom().completionStage(answer);
        }
        return Uni.createFrom().item(way == Way.BROKEN ? OrderSendResult.UNKNOWN : write(engine.name(), order, mayAct));
    }

    private OrderSendResult write(String name, EngineOrder order, BooleanSupplier mayAct) {
        if (!mayAct.getAsBoolean()) {
            return OrderSendResult.NOT_SENT;
        }
        arrivals.add(new Arrival(name, order.orderId(), order.fencing(), order.version(), timers.nanoTime()));
        if (way == Way.REFUSES) {
            return OrderSendResult.REFUSED;
        }
        if (machines.get(name).checksFencing() && order.fencing() < highest.getOrDefault(name, 0L)) {
            return OrderSendResult.STALE;
        }
        highest.merge(name, order.fencing(), Math::max);
        if (obeyed.add(order.orderId())) {
            timers.after("load", loadTime, () -> serve(name, order.version()));
        }
        return way == Way.LOSES_ANSWERS ? OrderSendResult.UNKNOWN : OrderSendResult.ACCEPTED;
    }

    private void serve(String name, String version) {
        VirtualMachine before = machines.get(name);
        add(name, version, before.checksFencing());
    }
}
