package org.baobabcart.router.testing;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.VirtualMachineList;

/** A list of VMs that keeps its history, so that a connection may return a former state. Not thread-safe. */
public final class FakeMachineList {
    private final TimerService timers;
    private final NavigableMap<Long, Map<String, VirtualMachine>> history = new TreeMap<>();
    private boolean outage;
    private long reads;

    private FakeMachineList(TimerService timers) {
        this.timers = timers;
        history.put(Long.MIN_VALUE, Map.of());
    }

    public static FakeMachineList create(TimerService timers) {
        return new FakeMachineList(timers);
    }

    public void put(VirtualMachine machine) {
        Map<String, VirtualMachine> next = new TreeMap<>(current());
        next.put(machine.name(), machine);
        history.put(timers.nanoTime(), next);
    }

    public void remove(String name) {
        Map<String, VirtualMachine> next = new TreeMap<>(current());
        next.remove(name);
        history.put(timers.nanoTime(), next);
    }

    public void replaceAll(List<VirtualMachine> machines) {
        Map<String, VirtualMachine> next = new TreeMap<>();
        machines.forEach(machine -> next.put(machine.name(), machine));
        history.put(timers.nanoTime(), next);
    }

    public void setOutage(boolean active) {
        outage = active;
    }

    /** Returns the number of reads, including failed ones. */
    public long reads() {
        return reads;
    }

    public List<VirtualMachine> machines() {
        return List.copyOf(current().values());
    }

    /** Returns whether the list had this entry of a VM, or none, at any time within {@code maxAge}. */
    public boolean hasContained(String name, Optional<VirtualMachine> machine, Duration maxAge) {
        long from = history.floorKey(timers.nanoTime() - maxAge.toNanos());
        return history.tailMap(from, true).values().stream()
                .anyMatch(entries -> Optional.ofNullable(entries.get(name)).equals(machine));
    }

    private Map<String, VirtualMachine> current() {
        return history.lastEntry().getValue();
    }

    /** The connection of one router to the list, which can be disconnected and return outdated states. */
    public final class Connection implements VirtualMachineList {
        private Duration lag = Duration.ZERO;
        private boolean disconnected;
        private Optional<VirtualMachine> override = Optional.empty();

        public void setLag(Duration newLag) {
            lag = newLag;
        }

        public void setDisconnected(boolean active) {
            disconnected = active;
        }

        /** From now on, returns this entry of a VM instead of the one in the list. */
        public void overrideEntry(VirtualMachine machine) {
            override = Optional.of(machine);
        }

        @Override
        public Uni<List<VirtualMachine>> read() {
            return Uni.createFrom().deferred(() -> {
                reads++;
                if (disconnected || outage) {
                    return Uni.createFrom().failure(BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE));
                }
                long readNanos = timers.nanoTime() - lag.toNanos();
                Map<String, VirtualMachine> entries =
                        new TreeMap<>(history.floorEntry(readNanos).getValue());
                override.ifPresent(machine -> entries.put(machine.name(), machine));
                return Uni.createFrom().item(List.copyOf(entries.values()));
            });
        }
    }

    public Connection connection() {
        return new Connection();
    }
}
