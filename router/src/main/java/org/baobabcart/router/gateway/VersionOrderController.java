package org.baobabcart.router.gateway;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.version.TrackedVersionOrder;
import org.baobabcart.policy.version.VersionJudgement;
import org.baobabcart.policy.version.VersionMoveSchedule;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.policy.version.VersionVerdict;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Executes orders that move services to other versions. Confined to the control thread.
 *
 * <p>All routers execute the same orders. One router reviews a move and announces its steps; another one takes over if the
 * order's status no longer changes. A router that finds the target bad by its own evidence stops sending requests to it at once,
 * before the state is written. A state that ends an order is final.
 */
final class VersionOrderController implements Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(200);
    /** Random delay added to the takeover timeout, so that not all routers try to take over a review at once. */
    private static final Duration TAKEOVER_SPREAD = Duration.ofMillis(1_500);

    private final GatewayObjectCodec objectCodec;
    private final ObjectInformer.Dependencies dependencies;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final VersionMoveSchedule schedule;
    private final VersionOutcomeRecorder outcomeRecorder;
    private final EvidenceExchange evidenceExchange;
    private final MoveReviewer reviewer;
    private final OrderWrites writes;
    private final ObjectInformer<StoredOrder> informer;
    private final Map<String, StoredObject> storedObjects = new HashMap<>();
    private final Map<String, TrackedVersionOrder> trackedOrders = new HashMap<>();
    private final Map<String, Long> takeoverNanos = new HashMap<>();
    private final Set<String> trialsStarted = new HashSet<>();
    private Optional<TimerService.Subscription> ticks = Optional.empty();

    private VersionOrderController(
            String router,
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            VersionMoveSchedule schedule,
            VersionOutcomeRecorder outcomeRecorder) {
        this.objectCodec = objectCodec;
        this.dependencies = dependencies;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.schedule = schedule;
        this.outcomeRecorder = outcomeRecorder;
        this.evidenceExchange = EvidenceExchange.create(router, dependencies, outcomeRecorder);
        this.reviewer = MoveReviewer.create(router, evidenceExchange, schedule);
        this.writes = OrderWrites.create(objectCodec, dependencies, this::onWritten);
        this.informer = ObjectInformer.create(
                objectCodec.orderKind(), dependencies, InformerSettings.defaults(), this::decode, this::onChanged);
    }

    /** An order and the object that holds it. */
    private record StoredOrder(StoredObject object, VersionOrder order) {}

    private Optional<StoredOrder> decode(StoredObject object) {
        return Optional.of(new StoredOrder(object, objectCodec.order(object)));
    }

    /**
     * Creates a controller that tracks no orders yet.
     *
     * @param router the name of this router
     * @param outcomeRecorder records the outcomes by version that this router observes
     */
    static VersionOrderController create(
            String router,
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            VersionMoveSchedule schedule,
            VersionOutcomeRecorder outcomeRecorder) {
        return new VersionOrderController(
                router, objectCodec, dependencies, blackboard, timeline, schedule, outcomeRecorder);
    }

    @Override
    public void start() {
        informer.start();
        ticks = Optional.of(dependencies.timers().every("version-orders", TICK, this::tick));
    }

    @Override
    public Uni<Void> stop() {
        ticks.ifPresent(TimerService.Subscription::cancel);
        informer.stop();
        evidenceExchange.stopReading();
        return Uni.createFrom().voidItem();
    }

    private void onChanged(Map<String, StoredOrder> objects) {
        storedObjects.keySet().retainAll(objects.keySet());
        trackedOrders.keySet().retainAll(objects.keySet());
        takeoverNanos.keySet().retainAll(objects.keySet());
        trialsStarted.retainAll(objects.keySet());
        writes.retain(objects.keySet());
        objects.values().forEach(this::apply);
        reviewer.retain(trackedOrders.values().stream()
                .map(order -> order.order().service())
                .collect(Collectors.toUnmodifiableSet()));
        publish();
    }

    /** Applies a written object, unless the watch has already delivered it or a later one. */
    private void onWritten(StoredObject before, StoredObject after) {
        StoredObject known = storedObjects.get(after.name());
        if (known != null && known.resourceVersion().equals(before.resourceVersion())) {
            try {
                decode(after).ifPresent(this::apply);
            } catch (BaobabcartException fault) {
                LOGGER.atWarning().log(
                        "event=version_order_ignored name=%s version=%s cause=%s",
                        after.name(), after.resourceVersion(), fault.getMessage());
            }
            publish();
        }
    }

    private void apply(StoredOrder stored) {
        StoredObject object = stored.object();
        StoredObject before = storedObjects.put(object.name(), object);
        if (before == null || !before.resourceVersion().equals(object.resourceVersion())) {
            long timeout = MoveReviewer.TAKEOVER_TIMEOUT.toNanos()
                    + dependencies.random().nextLong(TAKEOVER_SPREAD.toNanos());
            takeoverNanos.put(object.name(), dependencies.timers().nanoTime() + timeout);
        }
        apply(object.name(), stored.order());
    }

    private void apply(String name, VersionOrder order) {
        TrackedVersionOrder before = trackedOrders.get(name);
        long now = dependencies.timers().nanoTime();
        if (before == null || !isContinuation(before.order(), order)) {
            outcomeRecorder.clear(order.service());
            trackedOrders.put(name, schedule.track(order, now));
            writes.cancel(name);
            trialsStarted.remove(name);
            recordChange(order, "seen");
            return;
        }
        VersionOrder earlier = before.order();
        boolean isOwnWithdrawal = earlier.state() == VersionOrder.State.WITHDRAWN
                && !order.state().ended();
        if (!isOwnWithdrawal && earlier.state() != order.state()) {
            recordChange(order, "told");
        } else if (earlier.progress().stage() != order.progress().stage()) {
            recordChange(order, "step to " + order.progress().stage().text());
        }
        TrackedVersionOrder renewed = schedule.update(before, order, now);
        trackedOrders.put(name, isOwnWithdrawal ? renewed.withState(VersionOrder.State.WITHDRAWN) : renewed);
    }

    private static boolean isContinuation(VersionOrder before, VersionOrder after) {
        boolean isRevoked =
                before.state() == VersionOrder.State.COMPLETED && !after.state().ended();
        return before.isSameOrder(after) && !isRevoked;
    }

    private void tick() {
        boolean isChanged = false;
        for (String name : List.copyOf(trackedOrders.keySet())) {
            TrackedVersionOrder current = trackedOrders.get(name);
            if (current.order().state().ended()) {
                writeWithdrawal(name, current);
                reviewer.stopReview(current.order());
                continue;
            }
            isChanged |= advance(name, current);
        }
        if (isChanged) {
            publish();
        }
    }

    /** Processes one tick of an order that has not ended; returns whether this router withdrew it. */
    private boolean advance(String name, TrackedVersionOrder current) {
        VersionOrder order = current.order();
        long now = dependencies.timers().nanoTime();
        if (schedule.stage(current, now) == MoveStage.HELD) {
            if (order.state() == VersionOrder.State.ORDERED) {
                writes.write(
                        storedObjects.get(name),
                        order.withState(VersionOrder.State.MOVING),
                        schedule.writeSpread(order));
            }
            return false;
        }
        if (trialsStarted.add(name)) {
            // Only outcomes observed from the start of the trial count in the comparison of versions.
            outcomeRecorder.clear(order.service());
        }
        VersionJudgement own = reviewer.judge(current, outcomeRecorder.evidence(order.service(), now), now);
        if (own.verdict() == VersionVerdict.BAD) {
            withdraw(name, current, "bad: " + own.reason());
            return true;
        }
        evidenceExchange.report(order);
        return review(name, current, now);
    }

    /** Reviews an order, or claims its review if no other router does; returns whether this router withdrew it. */
    private boolean review(String name, TrackedVersionOrder current, long now) {
        VersionOrder order = current.order();
        if (!reviewer.isReviewer(order)) {
            reviewer.stopReview(order);
            claimReview(name, current, now);
            return false;
        }
        return reviewer.decide(current, now)
                .map(decision -> applyDecision(name, current, decision.order(), decision.reason()))
                .orElse(false);
    }

    private void claimReview(String name, TrackedVersionOrder current, long now) {
        VersionOrder order = current.order();
        if (!order.progress().isReviewed()) {
            // A status without a reviewer may still have a later stage, if a router of an earlier release wrote it.
            boolean isHeld = order.progress().stage() == MoveStage.HELD;
            VersionOrder claimedOrder =
                    isHeld ? reviewer.withTrialStarted(current, now) : reviewer.withReviewer(current, now);
            writes.write(
                    storedObjects.get(name),
                    claimedOrder.withState(VersionOrder.State.MOVING),
                    schedule.writeSpread(order));
        } else if (now - takeoverNanos.get(name) >= 0) {
            writes.write(storedObjects.get(name), reviewer.withReviewer(current, now), Duration.ZERO);
        }
    }

    private boolean applyDecision(String name, TrackedVersionOrder current, VersionOrder decidedOrder, String reason) {
        if (decidedOrder.state() == VersionOrder.State.WITHDRAWN) {
            withdraw(name, current, "bad: " + reason);
            return true;
        }
        if (decidedOrder.state() != current.order().state()
                || decidedOrder.progress().stage() != current.order().progress().stage()) {
            recordChange(decidedOrder, "decided: " + reason);
        }
        writes.write(storedObjects.get(name), decidedOrder, Duration.ZERO);
        return false;
    }

    /** Withdraws an order at once for this router's own requests, and writes the withdrawal. */
    private void withdraw(String name, TrackedVersionOrder current, String reason) {
        recordChange(current.order(), reason);
        TrackedVersionOrder withdrawn = current.withState(VersionOrder.State.WITHDRAWN);
        trackedOrders.put(name, withdrawn);
        writeWithdrawal(name, withdrawn);
    }

    private void writeWithdrawal(String name, TrackedVersionOrder current) {
        VersionOrder lastWritten = objectCodec.order(storedObjects.get(name));
        if (!lastWritten.state().ended()) {
            writes.write(storedObjects.get(name), current.order(), Duration.ZERO);
        }
    }

    private void recordChange(VersionOrder order, String change) {
        timeline.record(
                EventType.ROLL_OUT_CHANGED,
                EventFields.of(EventField.SERVICE, order.service())
                        .with(EventField.TARGET, order.target())
                        .with(EventField.STATE, order.state())
                        .with(EventField.CHANGE, change));
    }

    private void publish() {
        blackboard.write(Sections.VERSION_ORDERS, List.copyOf(trackedOrders.values()));
    }
}
