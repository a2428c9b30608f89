package org.baobabcart.router.machine;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.document.DocumentDependencies;
import org.baobabcart.router.platform.VirtualMachineList;

/**
 * Reads the list of VMs, one read at a time. Ignores empty responses and responses that took too long. Confined to the
 * control thread.
 */
final class MachineListReader {
    private final VirtualMachineList list;
    private final DocumentDependencies dependencies;
    private final MachineListSettings settings;
    private final Consumer<Reading> listener;
    private boolean inProgress;
    private int failures;
    private long nextReadNanos;

    /**
     * Result of a read.
     *
     * @param machines the entries of the list
     * @param startNanos the monotonic time at which the request was sent
     */
    record Reading(List<VirtualMachine> machines, long startNanos) {}

    private MachineListReader(
            VirtualMachineList list,
            DocumentDependencies dependencies,
            MachineListSettings settings,
            Consumer<Reading> listener) {
        this.list = list;
        this.dependencies = dependencies;
        this.settings = settings;
        this.listener = listener;
        this.nextReadNanos = dependencies.timers().nanoTime();
    }

    static MachineListReader create(
            VirtualMachineList list,
            DocumentDependencies dependencies,
            MachineListSettings settings,
            Consumer<Reading> listener) {
        return new MachineListReader(list, dependencies, settings, listener);
    }

    /**
     * Starts a read if one is due.
     *
     * @param backOff whether to increase the delay exponentially, with jitter, while reads fail
     */
    void readIfDue(boolean backOff) {
        long now = dependencies.timers().nanoTime();
        if (inProgress || now - nextReadNanos < 0) {
            return;
        }
        inProgress = true;
        nextReadNanos = now + nextDelay(backOff).toNanos();
        list.read()
                .emitOn(dependencies.loop())
                .subscribe()
                .with(machines -> onReceived(machines, now), ignored -> onFailed());
    }

    private Duration nextDelay(boolean backOff) {
        long period = settings.readPeriod().toMillis();
        if (!backOff || failures == 0) {
            return settings.readPeriod();
        }
        long bound = Math.min(settings.maxRetryDelay().toMillis(), period << Math.min(failures, Integer.SIZE / 2));
        return Duration.ofMillis(bound / 2 + dependencies.random().nextLong(bound / 2 + 1));
    }

    private void onReceived(List<VirtualMachine> machines, long startNanos) {
        inProgress = false;
        long taken = dependencies.timers().nanoTime() - startNanos;
        if (taken > settings.maxResponseTime().toNanos() || machines.isEmpty()) {
            failures++;
            return;
        }
        failures = 0;
        listener.accept(new Reading(machines, startNanos));
    }

    private void onFailed() {
        inProgress = false;
        failures++;
    }
}
