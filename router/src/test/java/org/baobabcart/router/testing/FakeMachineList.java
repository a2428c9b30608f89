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

/** A list of VMs that keeps its history, so that readers may be shown a state of the past. Not thread-safe. */
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
        Map<String, VirtualMachine> next = new TreeMap<>(now());
        next.put(machine.name(), machine);
        history.put(timers.nanoTime(), next);
    }

    public void remove(String name) {
        Map<String, VirtualMachine> next = new TreeMap<>(now());
        next.remove(name);
        history.put(timers.nanoTime(), next);
    }

    public void replaceAll(List<VirtualMachine> machines) {
        Map<String, VirtualMachine> next = new TreeMap<>();
        machines.forEach(machine -> next.put(machine.name(), machine));
        history.put(timers.nanoTime(), next);
    }

    public void setOutage(boolean nowOut) {
        outage = nowOut;
    }

    /** Readings that were asked for, whether they succeeded or not. */
    public long reads() {
        return reads;
    }

    public List<VirtualMachine> machines() {
        return List.copyOf(now().values());
    }

    /** Whether the list has shown this of a VM at some time since so long ago. */
    public boolean hasShown(String name, Optional<VirtualMachine> machine, Duration ago) {
        long from = history.floorKey(timers.nanoTime() - ago.toNanos());
        return history.tailMap(from, true).values().stream()
                .anyMatch(shown -> Optional.ofNullable(shown.get(name)).equals(machine));
    }

    private Map<String, VirtualMachine> now() {
        return history.lastEntry().getValue();
    }

    /** One router's way to the list: it may be cut, and lag. */
    public final class Way implements VirtualMachineList {
        private Duration lag = Duration.ZERO;
        private boolean cut;
        private Optional<VirtualMachine> pretended = Optional.empty();

        public void setLag(Duration newLag) {
            lag = newLag;
        }

        public void setCut(boolean nowCut) {
            cut = nowCut;
        }

        /** Shows this entry from now on, whatever the list has. */
        public void pretend(VirtualMachine machine) {
            pretended = Optional.of(machine);
        }

        @Override
        public Uni<List<VirtualMachine>> read() {
            return Uni.createFrom().deferred(() -> {
                reads++;
                if (cut || outage) {
                    return Uni.createFrom().failure(BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE));
                }
                long shownAt = timers.nanoTime() - lag.toNanos();
                Map<String, VirtualMachine> shown =
                        new TreeMap<>(history.floorEntry(shownAt).getValue());
                pretended.ifPresent(machine -> shown.put(machine.name(), machine));
                return Uni.createFrom().item(List.copyOf(shown.values()));
            });
        }
    }

    public Way way() {
        return new Way();
    }
}
