package org.baobabcart.router.gateway;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.version.FollowedOrder;
import org.baobabcart.policy.version.VersionEvidence;
import org.baobabcart.policy.version.VersionJudge;
import org.baobabcart.policy.version.VersionJudgement;
import org.baobabcart.policy.version.VersionMove;
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
 * <p>Each router follows the same orders and writes their state by conditional updates; of several that write at once one
 * wins and the others read what it wrote. A target that this router found bad gets no more of its requests at once, before the
 * state is written. A state that ends an order is never taken back.
 */
final class VersionOrderController implements Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(200);
    /** Longer than a write takes, so that an answer is waited for before the next try. */
    private static final Duration REWRITE = Duration.ofMillis(500);

    private final GatewayObjects meaning;
    private final ObjectFollower.Parts parts;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final VersionMove move;
    private final VersionEvidence evidence;
    private final ObjectFollower follower;
    private final Map<String, StoredObject> stored = new HashMap<>();
    private final Map<String, FollowedOrder> followed = new HashMap<>();
    private final Map<String, PlannedWrite> planned = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private Optional<TimerService.Subscription> ticks = Optional.empty();

    private VersionOrderController(
            GatewayObjects meaning,
            ObjectFollower.Parts parts,
            Blackboard blackboard,
            Timeline timeline,
            VersionMove move,
            VersionEvidence evidence) {
        this.meaning = meaning;
        this.parts = parts;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.move = move;
        this.evidence = evidence;
        this.follower = ObjectFollower.create(meaning.orderKind(), parts, FollowerSettings.defaults(), this::changed);
    }

    static VersionOrderController create(
            GatewayObjects meaning,
            ObjectFollower.Parts parts,
            Blackboard blackboard,
            Timeline timeline,
            VersionMove move,
            VersionEvidence evidence) {
        return new VersionOrderController(meaning, parts, blackboard, timeline, move, evidence);
    }

    @Override
    public void start() {
        follower.start();
        ticks = Optional.of(parts.timers().every("version-orders", TICK, this::review));
    }

    @Override
    public Uni<Void> stop() {
        ticks.ifPresent(TimerService.Subscription::cancel);
        follower.stop();
        return Uni.createFrom().voidItem();
    }

    private void changed(Map<String, StoredObject> objects) {
        stored.keySet().retainAll(objects.keySet());
        followed.keySet().retainAll(objects.keySet());
        planned.keySet().retainAll(objects.keySet());
        objects.values().forEach(this::take);
        publish();
    }

    private void take(StoredObject object) {
        try {
            VersionOrder order = meaning.order(object);
            stored.put(object.name(), object);
            take(object.name(), order);
        } catch (BaobabcartException fault) {
            LOGGER.atWarning().log(
                    "event=version_order_ignored name=%s version=%s cause=%s",
                    object.name(), object.resourceVersion(), fault.getMessage());
        }
    }

    private void take(String name, VersionOrder order) {
        FollowedOrder before = followed.get(name);
        long now = parts.timers().nanoTime();
        if (before == null || !isSame(before.order(), order)) {
            evidence.forget(order.service());
            followed.put(name, move.follow(order, now));
            planned.remove(name);
            note(order, "seen");
            return;
        }
        boolean ownStop = before.order().state() == VersionOrder.State.WITHDRAWN
                && !order.state().ended();
        if (!ownStop && before.order().state() != order.state()) {
            note(order, "told");
        }
        followed.put(
                name,
                ownStop
                        ? new FollowedOrder(order.withState(VersionOrder.State.WITHDRAWN), before.seenNanos())
                        : new FollowedOrder(order, before.seenNanos()));
    }

    private static boolean isSame(VersionOrder before, VersionOrder now) {
        return before.target().equals(now.target())
                && before.created().equals(now.created())
                && before.duration().equals(now.duration())
                && (now.state().ended() || !before.state().ended() || before.state() == VersionOrder.State.WITHDRAWN);
    }

    /** What this router writes of an order next, and when. */
    private record PlannedWrite(VersionOrder.State state, MoveStage stage, long atNanos) {}

    private void review() {
        long now = parts.timers().nanoTime();
        boolean changed = false;
        for (String name : List.copyOf(followed.keySet())) {
            FollowedOrder current = followed.get(name);
            FollowedOrder next = next(current, now);
            if (next.order().state() != current.order().state()) {
                followed.put(name, next);
                changed = true;
            }
            writeIfDue(name, next, now);
        }
        if (changed) {
            publish();
        }
    }

    private FollowedOrder next(FollowedOrder current, long now) {
        if (current.order().state().ended()) {
            return current;
        }
        VersionOrder order = current.order();
        VersionJudgement judgement = VersionJudge.judge(evidence.of(order.service(), now), order.target());
        if (judgement.verdict() == VersionVerdict.BAD) {
            note(order, "bad: " + judgement.reason());
            return current.withState(VersionOrder.State.WITHDRAWN);
        }
        return current;
    }

    private void writeIfDue(String name, FollowedOrder current, long now) {
        VersionOrder told = meaning.order(stored.get(name));
        VersionOrder.State state = wanted(current, now);
        MoveStage stage = move.stage(current, now);
        boolean isTold = told.state() == state && told.stage().compareTo(stage) >= 0;
        if (isTold || told.state().ended() || writing.contains(name)) {
            return;
        }
        PlannedWrite write = planned.get(name);
        if (write == null || write.state() != state || write.stage() != stage) {
            write = new PlannedWrite(state, stage, now + delay(current.order(), state));
            planned.put(name, write);
        }
        if (now - write.atNanos() < 0) {
            return;
        }
        planned.put(name, new PlannedWrite(state, stage, now + REWRITE.toNanos()));
        write(name, current.order().withState(state).withStage(stage));
    }

    /** Routers come to the same conclusion at one time, save that a target is bad, which has to be known at once. */
    private long delay(VersionOrder order, VersionOrder.State state) {
        long spread = move.writeSpread(order).toNanos();
        boolean atOnce = state == VersionOrder.State.WITHDRAWN || spread == 0;
        return atOnce ? 0 : parts.random().nextLong(spread);
    }

    private VersionOrder.State wanted(FollowedOrder current, long now) {
        if (current.order().state() == VersionOrder.State.ORDERED) {
            return VersionOrder.State.MOVING;
        }
        return move.isComplete(current, now)
                ? VersionOrder.State.COMPLETED
                : current.order().state();
    }

    private void write(String name, VersionOrder order) {
        writing.add(name);
        parts.store()
                .updateStatus(stored.get(name).withStatus(meaning.status(order)))
                .emitOn(parts.loop())
                .subscribe()
                .with(object -> written(name, object), failure -> notWritten(name, order, failure));
    }

    private void written(String name, StoredObject object) {
        writing.remove(name);
        if (stored.containsKey(name)) {
            take(object);
            publish();
        }
    }

    private void notWritten(String name, VersionOrder order, Throwable failure) {
        writing.remove(name);
        boolean conflict = failure instanceof BaobabcartException exception && exception.code() == ResultCode.CONFLICT;
        LOGGER.atInfo().log(
                "event=version_order_not_written service=%s state=%s conflict=%s cause=%s",
                order.service(), order.state(), conflict, failure.getMessage());
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
        blackboard.write(Sections.VERSION_ORDERS, List.copyOf(new ArrayList<>(followed.values())));
    }
}
