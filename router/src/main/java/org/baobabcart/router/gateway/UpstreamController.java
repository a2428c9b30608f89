package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.outage.UnconfirmedUpstreams;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/** Maintains the list of upstreams, which register themselves in the platform's store. Confined to the control thread. */
final class UpstreamController extends FollowingController {
    /** Upstreams whose entries expired during an outage of the platform register again within this time after its end. */
    private static final Duration REMOVAL_GRACE = Duration.ofMillis(2_200);

    private final Blackboard blackboard;
    private final Timeline timeline;
    private final ObjectInformer<ListedUpstream> informer;
    private final Consumer<Collection<ListedUpstream>> listListener;
    private final Consumer<String> restartListener;
    private final Map<String, VirtualMachine> knownMachines = new HashMap<>();

    private UpstreamController(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            Consumer<Collection<ListedUpstream>> listListener,
            Consumer<String> restartListener) {
        this.listListener = listListener;
        this.restartListener = restartListener;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.informer = ObjectInformer.create(
                objectCodec.upstreamKind(),
                dependencies,
                InformerSettings.defaults().withRemovalGrace(REMOVAL_GRACE),
                object -> ListedUpstream.decode(objectCodec, object),
                this::onChanged);
    }

    /**
     * Creates a controller without upstreams.
     *
     * @param listListener called with the entries of each list before the list is published
     * @param restartListener called with the name of each restarted upstream, after the list that contains it is published
     */
    static UpstreamController create(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            Consumer<Collection<ListedUpstream>> listListener,
            Consumer<String> restartListener) {
        return new UpstreamController(objectCodec, dependencies, blackboard, timeline, listListener, restartListener);
    }

    @Override
    ObjectInformer<ListedUpstream> informer() {
        return informer;
    }

    /** Returns whether the list has been read. */
    boolean isSynced() {
        return informer.isSynced();
    }

    private void onChanged(Map<String, ListedUpstream> upstreams) {
        List<VirtualMachine> machines = UnconfirmedUpstreams.withoutNewWork(
                upstreams.values().stream().map(ListedUpstream::machine).toList(), informer.unconfirmed());
        Set<String> removedNames = new HashSet<>(knownMachines.keySet());
        removedNames.removeAll(upstreams.keySet());
        removedNames.forEach(this::removeKnown);
        List<String> restartedNames = machines.stream()
                .filter(this::isRestarted)
                .map(VirtualMachine::name)
                .toList();
        machines.forEach(this::updateKnown);
        listListener.accept(upstreams.values());
        blackboard.write(Sections.VIRTUAL_MACHINES, machines);
        restartedNames.forEach(this::reportRestart);
    }

    private boolean isRestarted(VirtualMachine machine) {
        VirtualMachine before = knownMachines.get(machine.name());
        return before != null && before.incarnation() != machine.incarnation();
    }

    private void reportRestart(String name) {
        record(EventFields.of(EventField.UPSTREAM, name).with(EventField.CHANGE, "started anew"));
        restartListener.accept(name);
    }

    private void record(EventFields fields) {
        timeline.record(EventType.UPSTREAM_CHANGED, fields);
    }

    private void removeKnown(String name) {
        knownMachines.remove(name);
        record(EventFields.of(EventField.UPSTREAM, name).with(EventField.CHANGE, "gone"));
    }

    private void updateKnown(VirtualMachine machine) {
        VirtualMachine before = knownMachines.put(machine.name(), machine);
        if (!machine.equals(before)) {
            record(EventFields.of(EventField.UPSTREAM, machine.name())
                    .with(EventField.STATE, machine.state())
                    .with(EventField.SERVICE, machine.service())
                    .with(EventField.VERSION, machine.version()));
        }
    }
}
