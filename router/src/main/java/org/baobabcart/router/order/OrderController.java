package org.baobabcart.router.order;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.placement.DesiredPlacements;
import org.baobabcart.policy.placement.EngineListing;
import org.baobabcart.policy.placement.LoadOrder;
import org.baobabcart.policy.placement.ModelVersion;
import org.baobabcart.policy.placement.PlacementPlan;
import org.baobabcart.policy.placement.PlacementPolicy;
import org.baobabcart.policy.placement.PlacementState;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Plans and sends orders to the engines of this router's data centre while it holds the lease. Confined to the control
 * thread.
 *
 * <p>Each order is stored in the lease's journal before it is sent, and the lease is checked again when the connection
 * to the engine is open. An order without a response is sent again under the same id.
 */
public final class OrderController implements Controller {
    private final OrderDependencies dependencies;
    private final LeaseController leases;
    private final EngineOrderClient engineOrderClient;
    private final PlacementPolicy policy;
    private final String dataCentre;
    private final Map<String, SendState> sendStates = new HashMap<>();
    private Optional<PlacementState> placementState = Optional.empty();
    private Optional<TimerService.Subscription> timer = Optional.empty();
    private long fencing;
    private long lastOrderNumber;
    private boolean writing;

    /** Send attempts of one order. */
    private record SendState(int count, long lastSentNanos, boolean accepted) {}

    private OrderController(
            OrderDependencies dependencies,
            LeaseController leases,
            EngineOrderClient engineOrderClient,
            String dataCentre) {
        this.dependencies = dependencies;
        this.leases = leases;
        this.engineOrderClient = engineOrderClient;
        this.policy = PlacementPolicy.of(dependencies.settings().placement());
        this.dataCentre = dataCentre;
    }

    /** Creates a controller that is not started. */
    public static OrderController create(
            OrderDependencies dependencies,
            LeaseController leases,
            EngineOrderClient engineOrderClient,
            String dataCentre) {
        return new OrderController(dependencies, leases, engineOrderClient, dataCentre);
    }

    @Override
    public void start() {
        dependencies.blackboard().subscribe(Sections.ORDER_LEASE, this::leaseChanged);
        timer = Optional.of(
                dependencies.timers().every("orders", dependencies.settings().period(), this::tick));
    }

    @Override
    public Uni<Void> stop() {
        timer.ifPresent(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    private void leaseChanged(Optional<OrderLease> lease) {
        sendStates.clear();
        lastOrderNumber = 0;
        fencing = lease.map(OrderLease::fencing).orElse(0L);
        placementState = lease.map(acquired -> acquired.inheritedJournal()
                .toPlacementState(dependencies.timers().nanoTime()));
        if (placementState.isEmpty()) {
            dependencies.blackboard().write(Sections.ORDERS, OrderStatus.none());
        }
    }

    private void tick() {
        List<EngineListing> engines = listedEngines();
        if (placementState.isEmpty() || writing || engines.isEmpty()) {
            return;
        }
        long now = dependencies.timers().nanoTime();
        DesiredPlacements desired = desiredPlacements();
        PlacementState observed = policy.observe(placementState.get(), desired, engines, now);
        PlacementPlan plan = policy.plan(observed, desired, engines, now);
        placementState = Optional.of(observed);
        dependencies
                .blackboard()
                .write(Sections.ORDERS, new OrderStatus(fencing, observed.orders(), plan.shortfalls()));
        PlacementState next = withNewOrders(observed, plan, now);
        if (OrderJournal.of(next).equals(leases.journal())) {
            sendDue(desired);
        } else {
            write(next);
        }
    }

    private PlacementState withNewOrders(PlacementState observed, PlacementPlan plan, long now) {
        PlacementState next = observed;
        for (PlacementPlan.Move move : plan.moves()) {
            lastOrderNumber++;
            String id = dataCentre + "-" + fencing + "-" + lastOrderNumber;
            next = next.with(new LoadOrder(id, move.engine(), move.target()), now);
        }
        return next;
    }

    private void write(PlacementState next) {
        writing = true;
        long fencingAtWrite = fencing;
        leases.write(OrderJournal.of(next)).subscribe().with(stored -> {
            writing = false;
            if (stored && fencing == fencingAtWrite) {
                placementState = Optional.of(next);
                sendDue(desiredPlacements());
            }
        });
    }

    private void sendDue(DesiredPlacements desired) {
        sendStates
                .keySet()
                .retainAll(placementState.get().orders().stream()
                        .map(LoadOrder::id)
                        .toList());
        for (LoadOrder order : placementState.get().orders()) {
            if (!desired.withdrawn().contains(order.target()) && isDue(order)) {
                engine(order.engine()).ifPresent(engine -> send(engine, order));
            }
        }
    }

    private boolean isDue(LoadOrder order) {
        SendState sendState = sendStates.get(order.id());
        if (sendState == null) {
            return true;
        }
        long resendDelay = dependencies.settings().resendDelay().toNanos();
        return !sendState.accepted() && dependencies.timers().nanoTime() - sendState.lastSentNanos() >= resendDelay;
    }

    private void send(VirtualMachine engine, LoadOrder order) {
        BooleanSupplier mayAct = engine.checksFencing() ? leases::mayAct : leases::mayActUnfenced;
        if (!mayAct.getAsBoolean()) {
            return;
        }
        SendState previous = sendStates.getOrDefault(order.id(), new SendState(0, 0, false));
        if (previous.count() >= dependencies.settings().maximumSends()) {
            markFailed(order);
            return;
        }
        sendStates.put(
                order.id(),
                new SendState(previous.count() + 1, dependencies.timers().nanoTime(), false));
        long fencingAtSend = fencing;
        EventFields fields = EventFields.of(EventField.ORDER, order.id())
                .with(EventField.UPSTREAM, order.engine())
                .with(EventField.TARGET, String.valueOf(order.target()))
                .with(EventField.FENCING, fencing);
        dependencies.timeline().record(EventType.ORDER_SENT, fields);
        engineOrderClient
                .send(engine, EngineOrder.of(order, fencing), mayAct)
                .emitOn(dependencies.loop())
                .subscribe()
                .with(result -> onResult(order, result, fencingAtSend));
    }

    private void onResult(LoadOrder order, OrderSendResult result, long fencingAtSend) {
        dependencies.metrics().counter("orders.answers." + result.name()).inc();
        if (fencing != fencingAtSend) {
            return;
        }
        switch (result) {
            case ACCEPTED ->
                sendStates.computeIfPresent(
                        order.id(),
                        (id, sendState) -> new SendState(sendState.count(), sendState.lastSentNanos(), true));
            case REFUSED -> markRefused(order);
            case STALE -> {
                leases.requireVerification();
                markRefused(order);
            }
            default -> {}
        }
    }

    private void markFailed(LoadOrder order) {
        placementState = placementState.map(
                current -> current.failed(order, dependencies.timers().nanoTime()));
    }

    private void markRefused(LoadOrder order) {
        placementState = placementState.map(
                current -> current.refused(order, dependencies.timers().nanoTime()));
    }

    private DesiredPlacements desiredPlacements() {
        return dependencies
                .blackboard()
                .read(Sections.SHEET)
                .map(published -> DesiredPlacements.of(
                        published.sheet(), dependencies.blackboard().read(Sections.ROLL_OUTS), dataCentre))
                .orElseGet(() -> new DesiredPlacements(Map.of(), Set.of()));
    }

    private List<EngineListing> listedEngines() {
        return machines().stream()
                .map(machine -> new EngineListing(machine.name(), ModelVersion.of(machine.model(), machine.version())))
                .toList();
    }

    private Optional<VirtualMachine> engine(String name) {
        return machines().stream()
                .filter(machine -> machine.name().equals(name))
                .findFirst();
    }

    private List<VirtualMachine> machines() {
        return dependencies.blackboard().read(Sections.VIRTUAL_MACHINES).stream()
                .filter(machine -> machine.role() == VirtualMachine.Role.ENGINE)
                .filter(machine -> machine.dataCentre().equals(dataCentre))
                .filter(machine -> machine.state() == VirtualMachine.State.LIVE)
                .toList();
    }
}
