package org.baobabcart.router.machine;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.document.DocumentDependencies;
import org.baobabcart.router.platform.VirtualMachineList;

/**
 * Reads the list of VMs, one reading at a time, and drops answers that took too long. Confined to the control thread.
 */
final class MachineListReader {
    private final VirtualMachineList list;
    private final DocumentDependencies parts;
    private final MachineListSettings settings;
    private final Consumer<Reading> received;
    private boolean reading;
    private int failures;
    private long nextNanos;

    /**
     * A reading.
     *
     * @param machines the entries
     * @param begunNanos when the list was asked, by monotonic time
     */
    record Reading(List<VirtualMachine> machines, long begunNanos) {}

    private MachineListReader(
            VirtualMachineList list,
            DocumentDependencies parts,
            MachineListSettings settings,
            Consumer<Reading> received) {
        this.list = list;
        this.parts = parts;
        this.settings = settings;
        this.received = received;
        this.nextNanos = parts.timers().nanoTime();
    }

    static MachineListReader create(
            VirtualMachineList list,
            DocumentDependencies parts,
            MachineListSettings settings,
            Consumer<Reading> received) {
        return new MachineListReader(list, parts, settings, received);
    }

    /**
     * Reads if a reading is due.
     *
     * @param patient whether a list that fails is asked ever more seldom
     */
    void readIfDue(boolean patient) {
        long now = parts.timers().nanoTime();
        if (reading || now - nextNanos < 0) {
            return;
        }
        reading = true;
        nextNanos = now + pause(patient).toNanos();
        list.read().emitOn(parts.loop()).subscribe().with(machines -> received(machines, now), ignored -> failed());
    }

    private Duration pause(boolean patient) {
        long period = settings.readPeriod().toMillis();
        if (!patient || failures == 0) {
            return settings.readPeriod();
        }
        long longest = Math.min(settings.maxRetryDelay().toMillis(), period << Math.min(failures, Integer.SIZE / 2));
        return Duration.ofMillis(longest / 2 + parts.random().nextLong(longest / 2 + 1));
    }

    private void received(List<VirtualMachine> machines, long begunNanos) {
        reading = false;
        long taken = parts.timers().nanoTime() - begunNanos;
        if (taken > settings.maxResponseTime().toNanos() || machines.isEmpty()) {
            failures++;
            return;
        }
        failures = 0;
        received.accept(new Reading(machines, begunNanos));
    }

    private void failed() {
        reading = false;
        failures++;
    }
}
