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
import org.baobabcart.router.platform.FollowerSettings;
import org.baobabcart.router.platform.ObjectFollower;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Carries out orders that move services to other versions. Confined to the control thread.
 *
 * <p>Each router follows the same orders. One of them reviews a move and announces its steps; another one takes over where nothing is heard
 * of it. A target that a router finds bad by its own evidence gets no more of its requests at once, before the state is written. A
 * state that ends an order is never taken back.
 */
final class VersionOrderController implements Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(200);
    /** The time over which routers spread it that they take over a review. */
    private static final Duration TAKE_OVER_SPREAD = Duration.ofMillis(1_500);

    private final GatewayObjectCodec meaning;
    private final ObjectFollower.Parts parts;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final VersionMoveSchedule move;
    private final VersionOutcomeRecorder evidence;
    private final EvidenceExchange exchange;
    private final MoveReviewer reviewer;
    private final OrderWrites writes;
    private final ObjectFollower follower;
    private final Map<String, StoredObject> stored = new HashMap<>();
    private final Map<String, TrackedVersionOrder> followed = new HashMap<>();
    private final Map<String, Long> takeOverNanos = new HashMap<>();
    private final Set<String> tried = new HashSet<>();
    private Optional<TimerService.Subscription> ticks = Optional.empty();

    private VersionOrderController(
            String router,
            GatewayObjectCodec meaning,
            ObjectFollower.Parts parts,
            Blackboard blackboard,
            Timeline timeline,
            VersionMoveSchedule move,
            VersionOutcomeRecorder evidence) {
        this.meaning = meaning;
        this.parts = parts;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.move = move;
        this.evidence = evidence;
        this.exchange = EvidenceExchange.create(router, parts, evidence);
        this.reviewer = MoveReviewer.create(router, exchange, move);
        this.writes = OrderWrites.create(meaning, parts, this::written);
        this.follower = ObjectFollower.create(meaning.orderKind(), parts, FollowerSettings.defaults(), this::changed);
    }

    /**
     * A controller that follows nothing yet.
     *
     * @param router the name of this router
     * @param evidence what this router sees of the versions
     */
    static VersionOrderController create(
            String router,
            GatewayObjectCodec meaning,
            ObjectFollower.Parts parts,
            Blackboard blackboard,
            Timeline timeline,
            VersionMoveSchedule move,
            VersionOutcomeRecorder evidence) {
        return new VersionOrderController(router, meaning, parts, blackboard, timeline, move, evidence);
    }

    @Override
    public void start() {
        follower.start();
        ticks = Optional.of(parts.timers().every("version-orders", TICK, this::tick));
    }

    @Override
    public Uni<Void> stop() {
        ticks.ifPresent(TimerService.Subscription::cancel);
        follower.stop();
        exchange.stopReading();
        return Uni.createFrom().voidItem();
    }

    private void changed(Map<String, StoredObject> objects) {
        stored.keySet().retainAll(objects.keySet());
        followed.keySet().retainAll(objects.keySet());
        takeOverNanos.keySet().retainAll(objects.keySet());
        tried.retainAll(objects.keySet());
        writes.retain(objects.keySet());
        objects.values().forEach(this::take);
        reviewer.retain(followed.values().stream()
                .map(order -> order.order().service())
                .collect(Collectors.toUnmodifiableSet()));
        publish();
    }

    /** Takes over what was written, unless the watch has told of it, or of something later, by now. */
    private void written(StoredObject before, StoredObject after) {
        StoredObject known = stored.get(after.name());
        if (known != null && known.resourceVersion().equals(before.resourceVersion())) {
            take(after);
            publish();
        }
    }

    private void take(StoredObject object) {
        try {
            VersionOrder order = meaning.order(object);
            StoredObject before = stored.put(object.name(), object);
            if (before == null || !before.resourceVersion().equals(object.resourceVersion())) {
                long silence = MoveReviewer.SILENCE.toNanos() + parts.random().nextLong(TAKE_OVER_SPREAD.toNanos());
                takeOverNanos.put(object.name(), parts.timers().nanoTime() + silence);
            }
            take(object.name(), order);
        } catch (BaobabcartException fault) {
            LOGGER.atWarning().log(
                    "event=version_order_ignored name=%s version=%s cause=%s",
                    object.name(), object.resourceVersion(), fault.getMessage());
        }
    }

    private void take(String name, VersionOrder order) {
        TrackedVersionOrder before = followed.get(name);
        long now = parts.timers().nanoTime();
        if (before == null || !isContinued(before.order(), order)) {
            evidence.clear(order.service());
            followed.put(name, move.track(order, now));
            writes.forget(name);
            tried.remove(name);
            note(order, "seen");
            return;
        }
        VersionOrder earlier = before.order();
        boolean isOwnStop = earlier.state() == VersionOrder.State.WITHDRAWN
                && !order.state().ended();
        if (!isOwnStop && earlier.state() != order.state()) {
            note(order, "told");
        } else if (earlier.progress().stage() != order.progress().stage()) {
            note(order, "step to " + order.progress().stage().text());
        }
        TrackedVersionOrder renewed = move.update(before, order, now);
        followed.put(name, isOwnStop ? renewed.withState(VersionOrder.State.WITHDRAWN) : renewed);
    }

    private static boolean isContinued(VersionOrder before, VersionOrder now) {
        boolean isTakenBack =
                before.state() == VersionOrder.State.COMPLETED && !now.state().ended();
        return before.isSameOrder(now) && !isTakenBack;
    }

    private void tick() {
        boolean isChanged = false;
        for (String name : List.copyOf(followed.keySet())) {
            TrackedVersionOrder current = followed.get(name);
            if (current.order().state().ended()) {
                writeStop(name, current);
                reviewer.leave(current.order());
                continue;
            }
            isChanged |= carryOn(name, current);
        }
        if (isChanged) {
            publish();
        }
    }

    /** Takes an order that has not ended one tick on; tells whether this router stopped it. */
    private boolean carryOn(String name, TrackedVersionOrder current) {
        VersionOrder order = current.order();
        long now = parts.timers().nanoTime();
        if (move.stage(current, now) == MoveStage.HELD) {
            if (order.state() == VersionOrder.State.ORDERED) {
                writes.write(stored.get(name), order.withState(VersionOrder.State.MOVING), move.writeSpread(order));
            }
            return false;
        }
        if (tried.add(name)) {
            // The versions are compared as they answer from now on.
            evidence.clear(order.service());
        }
        VersionJudgement own = reviewer.judge(current, evidence.evidence(order.service(), now), now);
        if (own.verdict() == VersionVerdict.BAD) {
            stopped(name, current, "bad: " + own.reason());
            return true;
        }
        exchange.report(order);
        return lead(name, current, now);
    }

    /** Reviews an order, or sees to it that some router does; tells whether this router stopped it. */
    private boolean lead(String name, TrackedVersionOrder current, long now) {
        VersionOrder order = current.order();
        if (!reviewer.isReviewer(order)) {
            reviewer.leave(order);
            claim(name, current, now);
            return false;
        }
        return reviewer.decide(current, now)
                .map(decision -> decided(name, current, decision.order(), decision.reason()))
                .orElse(false);
    }

    private void claim(String name, TrackedVersionOrder current, long now) {
        VersionOrder order = current.order();
        if (!order.progress().isReviewed()) {
            // A status without a reviewer may have steps all the same: a router of an earlier release has written it.
            boolean isUntried = order.progress().stage() == MoveStage.HELD;
            VersionOrder claimed = isUntried ? reviewer.tried(current, now) : reviewer.taken(current, now);
            writes.write(stored.get(name), claimed.withState(VersionOrder.State.MOVING), move.writeSpread(order));
        } else if (now - takeOverNanos.get(name) >= 0) {
            writes.write(stored.get(name), reviewer.taken(current, now), Duration.ZERO);
        }
    }

    private boolean decided(String name, TrackedVersionOrder current, VersionOrder decided, String reason) {
        if (decided.state() == VersionOrder.State.WITHDRAWN) {
            stopped(name, current, "bad: " + reason);
            return true;
        }
        if (decided.state() != current.order().state()
                || decided.progress().stage() != current.order().progress().stage()) {
            note(decided, "decided: " + reason);
        }
        writes.write(stored.get(name), decided, Duration.ZERO);
        return false;
    }

    /** Stops an order for this router's own requests at once. */
    private void stopped(String name, TrackedVersionOrder current, String reason) {
        note(current.order(), reason);
        TrackedVersionOrder stop = current.withState(VersionOrder.State.WITHDRAWN);
        followed.put(name, stop);
        writeStop(name, stop);
    }

    private void writeStop(String name, TrackedVersionOrder current) {
        VersionOrder told = meaning.order(stored.get(name));
        if (!told.state().ended()) {
            writes.write(stored.get(name), current.order(), Duration.ZERO);
        }
    }

    private void note(VersionOrder order, String change) {
        timeline.record(
                EventType.ROLL_OUT_CHANGED,
                EventFields.of(EventField.SERVICE, order.service())
                        .with(EventField.TARGET, order.target())
                        .with(EventField.STATE, order.state())
                        .with(EventField.CHANGE, change));
    }

    private void publish() {
        blackboard.write(Sections.VERSION_ORDERS, List.copyOf(followed.values()));
    }
}
