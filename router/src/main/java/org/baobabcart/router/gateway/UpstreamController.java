package org.baobabcart.router.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.FollowerSettings;
import org.baobabcart.router.platform.ObjectFollower;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/** Keeps the list of upstreams as they register themselves in the platform. Confined to the control thread. */
final class UpstreamController extends FollowingController {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Upstreams whose entries lapsed while the platform was away write them again within this time of its return. */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2_200);

    private final GatewayObjectCodec meaning;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final ObjectFollower follower;
    private final Consumer<String> restarted;
    private final Map<String, VirtualMachine> known = new HashMap<>();

    private UpstreamController(
            GatewayObjectCodec meaning,
            ObjectFollower.Parts parts,
            Blackboard blackboard,
            Timeline timeline,
            Consumer<String> restarted) {
        this.meaning = meaning;
        this.restarted = restarted;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.follower = ObjectFollower.create(
                meaning.upstreamKind(),
                parts,
                FollowerSettings.defaults().withReturnGrace(RETURN_GRACE),
                this::changed);
    }

    /**
     * A controller that knows no upstream.
     *
     * @param restarted is told the name of each upstream that has started anew, after the list with it was published
     */
    static UpstreamController create(
            GatewayObjectCodec meaning,
            ObjectFollower.Parts parts,
            Blackboard blackboard,
            Timeline timeline,
            Consumer<String> restarted) {
        return new UpstreamController(meaning, parts, blackboard, timeline, restarted);
    }

    @Override
    ObjectFollower follower() {
        return follower;
    }

    /** Whether the list was read. */
    boolean isKnown() {
        return follower.isKnown();
    }

    private void changed(Map<String, StoredObject> objects) {
        List<VirtualMachine> machines = new ArrayList<>();
        objects.values().forEach(object -> read(object, machines));
        Set<String> vanished = new HashSet<>(known.keySet());
        machines.forEach(machine -> vanished.remove(machine.name()));
        vanished.forEach(this::forget);
        List<String> startedAnew = machines.stream()
                .filter(this::hasStartedAnew)
                .map(VirtualMachine::name)
                .toList();
        machines.forEach(this::note);
        blackboard.write(Sections.VIRTUAL_MACHINES, List.copyOf(machines));
        startedAnew.forEach(this::restart);
    }

    private boolean hasStartedAnew(VirtualMachine machine) {
        VirtualMachine before = known.get(machine.name());
        return before != null && before.incarnation() != machine.incarnation();
    }

    private void restart(String name) {
        record(EventFields.of(EventField.UPSTREAM, name).with(EventField.CHANGE, "started anew"));
        restarted.accept(name);
    }

    private void record(EventFields fields) {
        timeline.record(EventType.UPSTREAM_CHANGED, fields);
    }

    private void read(StoredObject object, List<VirtualMachine> machines) {
        try {
            meaning.upstream(object).ifPresent(machines::add);
        } catch (BaobabcartException fault) {
            LOGGER.atInfo().log(
                    "event=upstream_entry_ignored name=%s version=%s cause=%s",
                    object.name(), object.resourceVersion(), fault.getMessage());
        }
    }

    private void forget(String name) {
        known.remove(name);
        record(EventFields.of(EventField.UPSTREAM, name).with(EventField.CHANGE, "gone"));
    }

    private void note(VirtualMachine machine) {
        VirtualMachine before = known.put(machine.name(), machine);
        if (!machine.equals(before)) {
            record(EventFields.of(EventField.UPSTREAM, machine.name())
                    .with(EventField.STATE, machine.state())
                    .with(EventField.SERVICE, machine.service())
                    .with(EventField.VERSION, machine.version()));
        }
    }
}
