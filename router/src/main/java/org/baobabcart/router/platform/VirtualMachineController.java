package org.baobabcart.router.platform;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Reads the list of VMs again and again; the last list read stands while it cannot be read. Confined to the control
 * thread.
 */
public final class VirtualMachineController implements Controller {
    private final VirtualMachineList list;
    private final Blackboard blackboard;
    private final Executor loop;
    private final TimerService timers;
    private final Timeline timeline;
    private final Duration period;
    private Optional<TimerService.Subscription> subscription = Optional.empty();
    private boolean reading;

    private VirtualMachineController(
            VirtualMachineList list,
            Blackboard blackboard,
            Executor loop,
            TimerService timers,
            Timeline timeline,
            Duration period) {
        this.list = list;
        this.blackboard = blackboard;
        this.loop = loop;
        this.timers = timers;
        this.timeline = timeline;
        this.period = period;
    }

    /** A controller that reads the list once a period. */
    public static VirtualMachineController create(
            VirtualMachineList list,
            Blackboard blackboard,
            Executor loop,
            TimerService timers,
            Timeline timeline,
            Duration period) {
        return new VirtualMachineController(list, blackboard, loop, timers, timeline, period);
    }

    @Override
    public void start() {
        subscription = Optional.of(timers.every("virtual-machines", period, this::read));
        read();
    }

    @Override
    public Uni<Void> stop() {
        subscription.ifPresent(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        list.read().emitOn(loop).subscribe().with(this::received, ignored -> reading = false);
    }

    private void received(List<VirtualMachine> machines) {
        reading = false;
        recordChanges(blackboard.read(Sections.VIRTUAL_MACHINES), machines);
        blackboard.write(Sections.VIRTUAL_MACHINES, List.copyOf(machines));
    }

    private void recordChanges(List<VirtualMachine> before, List<VirtualMachine> after) {
        Map<String, VirtualMachine> vanished = new HashMap<>();
        before.forEach(machine -> vanished.put(machine.name(), machine));
        for (VirtualMachine machine : after) {
            VirtualMachine known = vanished.remove(machine.name());
            if (!machine.equals(known)) {
                recordChange(machine.name(), machine.state().toString());
            }
        }
        vanished.keySet().forEach(name -> recordChange(name, "VANISHED"));
    }

    private void recordChange(String name, String state) {
        timeline.record(EventType.UPSTREAM_CHANGED, "vm=" + name + " state=" + state);
    }
}
