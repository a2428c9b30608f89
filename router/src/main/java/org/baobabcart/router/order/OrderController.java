package org.baobabcart.router.order;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.placement.ListedEngine;
import org.baobabcart.policy.placement.LoadOrder;
import org.baobabcart.policy.placement.ModelVersion;
import org.baobabcart.policy.placement.OrderBook;
import org.baobabcart.policy.placement.PlacementPlan;
import org.baobabcart.policy.placement.PlacementPolicy;
import org.baobabcart.policy.placement.WantedPlacements;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Decides and sends orders to the engines of this router's data centre while it holds the lease. Confined to the control
 * thread.
 *
 * <p>Each order is in the lease's journal before it is sent, and the lease is checked once more when the connection to the
 * engine is open. An order without an answer is sent again under the same id.
 */
public final class OrderController implements Controller {
    private final OrderParts parts;
    private final LeaseController leases;
    private final EngineOrders engineOrders;
    private final PlacementPolicy policy;
    private final String dataCentre;
    private final Map<String, Sending> sendings = new HashMap<>();
    private Optional<OrderBook> book = Optional.empty();
    private Optional<TimerService.Subscription> timer = Optional.empty();
    private long fencing;
    private long nextOrder;
    private boolean writing;

    /** How often an order was sent. */
    private record Sending(int count, long lastNanos, boolean accepted) {}

    private OrderController(OrderParts parts, LeaseController leases, EngineOrders engineOrders, String dataCentre) {
        this.parts = parts;
        this.leases = leases;
        this.engineOrders = engineOrders;
        this.policy = PlacementPolicy.of(parts.settings().placement());
        this.dataCentre = dataCentre;
    }

    /** A controller that has not started yet. */
    public static OrderController create(
            OrderParts parts, LeaseController leases, EngineOrders engineOrders, String dataCentre) {
        return new OrderController(parts, leases, engineOrders, dataCentre);
    }

    @Override
    public void start() {
        parts.blackboard().subscribe(Sections.ORDER_LEASE, this::leaseChanged);
        timer = Optional.of(parts.timers().every("orders", parts.settings().period(), this::tick));
    }

    @Override
    public Uni<Void> stop() {
        timer.ifPresent(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    private void leaseChanged(Optional<OrderLease> lease) {
        sendings.clear();
        nextOrder = 0;
        fencing = lease.map(OrderLease::fencing).orElse(0L);
        book = lease.map(taken -> taken.inherited().takenOver(parts.timers().nanoTime()));
        if (book.isEmpty()) {
            parts.blackboard().write(Sections.ORDERS, OrderStatus.none());
        }
    }

    private void tick() {
        List<ListedEngine> engines = listedEngines();
        if (book.isEmpty() || writing || engines.isEmpty()) {
            return;
        }
        long now = parts.timers().nanoTime();
        WantedPlacements wanted = wanted();
        OrderBook observed = policy.observe(book.get(), wanted, engines, now);
        PlacementPlan plan = policy.plan(observed, wanted, engines, now);
        book = Optional.of(observed);
        parts.blackboard().write(Sections.ORDERS, new OrderStatus(fencing, observed.orders(), plan.shortfalls()));
        OrderBook next = withOrders(observed, plan, now);
        if (OrderJournal.of(next).equals(leases.journal())) {
            sendDue(wanted);
        } else {
            write(next);
        }
    }

    private OrderBook withOrders(OrderBook observed, PlacementPlan plan, long now) {
        OrderBook next = observed;
        for (PlacementPlan.Move move : plan.moves()) {
            nextOrder++;
            String id = dataCentre + "-" + fencing + "-" + nextOrder;
            next = next.with(new LoadOrder(id, move.engine(), move.target()), now);
        }
        return next;
    }

    private void write(OrderBook next) {
        writing = true;
        long writtenUnder = fencing;
        leases.write(OrderJournal.of(next)).subscribe().with(stands -> {
            writing = false;
            if (stands && fencing == writtenUnder) {
                book = Optional.of(next);
                sendDue(wanted());
            }
        });
    }

    private void sendDue(WantedPlacements wanted) {
        sendings.keySet()
                .retainAll(book.get().orders().stream().map(LoadOrder::id).toList());
        for (LoadOrder order : book.get().orders()) {
            if (!wanted.withdrawn().contains(order.target()) && isDue(order)) {
                engine(order.engine()).ifPresent(engine -> send(engine, order));
            }
        }
    }

    private boolean isDue(LoadOrder order) {
        Sending sending = sendings.get(order.id());
        if (sending == null) {
            return true;
        }
        long pause = parts.settings().resendPause().toNanos();
        return !sending.accepted() && parts.timers().nanoTime() - sending.lastNanos() >= pause;
    }

    private void send(VirtualMachine engine, LoadOrder order) {
        BooleanSupplier mayAct = engine.checksFencing() ? leases::mayAct : leases::mayActUnfenced;
        if (!mayAct.getAsBoolean()) {
            return;
        }
        Sending before = sendings.getOrDefault(order.id(), new Sending(0, 0, false));
        if (before.count() >= parts.settings().maximumSends()) {
            fail(order);
            return;
        }
        sendings.put(order.id(), new Sending(before.count() + 1, parts.timers().nanoTime(), false));
        long sentUnder = fencing;
        EventFields fields = EventFields.of(EventField.ORDER, order.id())
                .with(EventField.UPSTREAM, order.engine())
                .with(EventField.TARGET, String.valueOf(order.target()))
                .with(EventField.FENCING, fencing);
        parts.timeline().record(EventType.ORDER_SENT, fields);
        engineOrders
                .send(engine, EngineOrder.of(order, fencing), mayAct)
                .emitOn(parts.loop())
                .subscribe()
                .with(answer -> answered(order, answer, sentUnder));
    }

    private void answered(LoadOrder order, OrderAnswer answer, long sentUnder) {
        parts.metrics().counter("orders.answers." + answer.name()).inc();
        if (fencing != sentUnder) {
            return;
        }
        switch (answer) {
            case ACCEPTED ->
                sendings.computeIfPresent(
                        order.id(), (id, sending) -> new Sending(sending.count(), sending.lastNanos(), true));
            case REFUSED -> refuse(order);
            case STALE -> {
                leases.doubt();
                refuse(order);
            }
            default -> {}
        }
    }

    private void fail(LoadOrder order) {
        book = book.map(current -> current.failed(order, parts.timers().nanoTime()));
    }

    private void refuse(LoadOrder order) {
        book = book.map(current -> current.refused(order, parts.timers().nanoTime()));
    }

    private WantedPlacements wanted() {
        return parts.blackboard()
                .read(Sections.SHEET)
                .map(published -> WantedPlacements.of(
                        published.sheet(), parts.blackboard().read(Sections.ROLL_OUTS), dataCentre))
                .orElseGet(() -> new WantedPlacements(Map.of(), Set.of()));
    }

    private List<ListedEngine> listedEngines() {
        return machines().stream()
                .map(machine -> new ListedEngine(machine.name(), ModelVersion.of(machine.model(), machine.version())))
                .toList();
    }

    private Optional<VirtualMachine> engine(String name) {
        return machines().stream()
                .filter(machine -> machine.name().equals(name))
                .findFirst();
    }

    private List<VirtualMachine> machines() {
        return parts.blackboard().read(Sections.VIRTUAL_MACHINES).stream()
                .filter(machine -> machine.role() == VirtualMachine.Role.ENGINE)
                .filter(machine -> machine.dataCentre().equals(dataCentre))
                .filter(machine -> machine.state() == VirtualMachine.State.LIVE)
                .toList();
    }
}
