package org.baobabcart.router.view;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;

/**
 * Publishes a new view after each change of the control state that traffic threads use. The view is written on the
 * control thread and may be read by any thread.
 *
 * <p>The view contains the engines and services that the list of VMs shows as live. Leaving and vanished ones are
 * excluded as soon as the list has been read, and so are those in data centres that the operator has taken out of use.
 */
public final class ViewPublisher implements Controller, TrafficViewSource {
    private final Blackboard blackboard;
    private volatile TrafficView view = TrafficView.empty();

    private ViewPublisher(Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    /** Creates a publisher whose view is empty until it is started. */
    public static ViewPublisher create(Blackboard blackboard) {
        return new ViewPublisher(blackboard);
    }

    @Override
    public void start() {
        blackboard.subscribe(Sections.SHEET, ignored -> publish());
        blackboard.subscribe(Sections.ROLL_OUTS, ignored -> publish());
        blackboard.subscribe(Sections.VIRTUAL_MACHINES, ignored -> publish());
        blackboard.subscribe(Sections.DRAINING, ignored -> publish());
        blackboard.subscribe(Sections.ROUTES, ignored -> publish());
        blackboard.subscribe(Sections.VERSION_ORDERS, ignored -> publish());
        blackboard.subscribe(Sections.EVACUATED, ignored -> publish());
        publish();
    }

    @Override
    public Uni<Void> stop() {
        return Uni.createFrom().voidItem();
    }

    @Override
    public TrafficView current() {
        return view;
    }

    private void publish() {
        Evacuations evacuations = blackboard.read(Sections.EVACUATED);
        view = new TrafficView(
                blackboard.read(Sections.SHEET),
                blackboard.read(Sections.ROLL_OUTS),
                liveUpstreams(blackboard.read(Sections.VIRTUAL_MACHINES), evacuations),
                blackboard.read(Sections.DRAINING),
                blackboard.read(Sections.ROUTES),
                blackboard.read(Sections.VERSION_ORDERS),
                evacuations);
    }

    private static List<VirtualMachine> liveUpstreams(List<VirtualMachine> machines, Evacuations evacuations) {
        return machines.stream()
                .filter(machine -> machine.role() != VirtualMachine.Role.ROUTER)
                .filter(machine -> machine.state() == VirtualMachine.State.LIVE)
                .filter(machine -> !evacuations.isEvacuated(machine.dataCentre()))
                .toList();
    }
}
