package org.baobabcart.router.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.baobabcart.model.gateway.Evacuation;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Follows the operator's orders to take data centres out of use. Confined to the control thread.
 *
 * <p>Until the orders have been read once, every data centre counts as evacuated.
 */
final class EvacuationController extends FollowingController {
    private final TimerService timers;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final ToIntFunction<String> runningRequests;
    private final ObjectInformer<Evacuation> informer;
    private Map<String, Evacuation> known = Map.of();

    private EvacuationController(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            ToIntFunction<String> runningRequests) {
        this.timers = dependencies.timers();
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.runningRequests = runningRequests;
        this.informer = ObjectInformer.create(
                objectCodec.evacuationKind(),
                dependencies,
                InformerSettings.defaults(),
                object -> Optional.of(objectCodec.evacuation(object)),
                this::onChanged);
    }

    /**
     * Creates a controller that knows no orders yet.
     *
     * @param runningRequests returns the number of requests that run at the upstreams of a data centre
     */
    static EvacuationController create(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            ToIntFunction<String> runningRequests) {
        return new EvacuationController(objectCodec, dependencies, blackboard, timeline, runningRequests);
    }

    @Override
    ObjectInformer<Evacuation> informer() {
        return informer;
    }

    @Override
    public void start() {
        blackboard.write(Sections.EVACUATED, Evacuations.unknown());
        super.start();
    }

    private void onChanged(Map<String, Evacuation> orders) {
        Map<String, Evacuation> current =
                orders.values().stream().collect(Collectors.toUnmodifiableMap(Evacuation::dataCentre, order -> order));
        Map<String, Evacuation> before = known;
        known = current;
        long now = timers.nanoTime();
        blackboard.update(Sections.EVACUATED, evacuations -> evacuations.withDataCentres(current.keySet(), now));
        Set<String> returned = new HashSet<>(before.keySet());
        returned.removeAll(current.keySet());
        returned.forEach(dataCentre -> record(before.get(dataCentre), "in use"));
        Map<String, Evacuation> changed = new HashMap<>(current);
        changed.values().removeAll(before.values());
        changed.values().forEach(order -> record(order, "evacuated"));
    }

    private void record(Evacuation order, String state) {
        String dataCentre = order.dataCentre();
        long upstreams = blackboard.read(Sections.VIRTUAL_MACHINES).stream()
                .map(VirtualMachine::dataCentre)
                .filter(dataCentre::equals)
                .count();
        timeline.record(
                EventType.DATA_CENTRE_CHANGED,
                EventFields.of(EventField.DATA_CENTRE, dataCentre)
                        .with(EventField.STATE, state)
                        .with(EventField.SINCE, order.created())
                        .with(EventField.RESOURCE_VERSION, order.resourceVersion())
                        .with(EventField.UPSTREAMS, upstreams)
                        .with(EventField.RUNNING, runningRequests.applyAsInt(dataCentre)));
    }
}
