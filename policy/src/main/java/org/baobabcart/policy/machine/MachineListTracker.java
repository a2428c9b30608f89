package org.baobabcart.policy.machine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * What one reader saw in the list of VMs, and what it therefore states. Immutable.
 *
 * <p>Readers may see lists of different age. A reader states a change when its own list changes, and otherwise only
 * contradicts what is held after its list has shown the same for some time, so that a list that lags doesn't undo what
 * another reader has already seen.
 */
public final class MachineListTracker {
    /** How long a list has to differ from what is held before a reader that saw no change contradicts. */
    static final Duration CONTRADICTION_DELAY = Duration.ofSeconds(10);

    /** For how long more missing entries than usual have to be missing before a part of them is taken away. */
    static final Duration MASS_REMOVAL_DELAY = Duration.ofSeconds(30);

    /** After a longer pause the last reading says nothing of what has changed since. */
    static final Duration LONGEST_PAUSE = Duration.ofSeconds(3);

    /** So many entries may go missing at once in a list of any size. */
    static final int REMOVALS_AT_ONCE = 2;

    /** Of a longer list one in so many may go missing at once. */
    static final int REMOVAL_SHARE = 4;

    private static final MachineListTracker NONE =
            new MachineListTracker(List.of(), MachineTable.empty(), Optional.empty(), Map.of(), 0, 0);

    private final List<VirtualMachine> lastList;
    private final MachineTable lastTable;
    private final Optional<Map<String, VirtualMachine>> last;
    private final Map<String, Difference> differences;
    private final long lastNanos;
    private final long shrunkNanos;

    /**
     * What follows from a reading.
     *
     * @param readings the reader's new state
     * @param statements what it states
     */
    public record Outcome(MachineListTracker readings, List<MachineStatement> statements) {}

    private MachineListTracker(
            List<VirtualMachine> lastList,
            MachineTable lastTable,
            Optional<Map<String, VirtualMachine>> last,
            Map<String, Difference> differences,
            long lastNanos,
            long shrunkNanos) {
        this.lastList = lastList;
        this.lastTable = lastTable;
        this.last = last;
        this.differences = differences;
        this.lastNanos = lastNanos;
        this.shrunkNanos = shrunkNanos;
    }

    /** A reader that has seen nothing yet. */
    public static MachineListTracker none() {
        return NONE;
    }

    /**
     * Takes in a reading. An empty list is passed over, since it lacks even the routers; the same list as before, by its
     * identity, costs nothing.
     *
     * @param list the entries that the list shows
     * @param table what is held
     * @param outdated whether no reader is known to have read the list lately, so that this reading is newer than what is
     *     held
     * @param nowNanos monotonic time
     */
    public Outcome read(List<VirtualMachine> list, MachineTable table, boolean outdated, long nowNanos) {
        if (list.isEmpty()) {
            return new Outcome(this, List.of());
        }
        if (list == lastList && table == lastTable && differences.isEmpty()) {
            return new Outcome(at(nowNanos), List.of());
        }
        Map<String, VirtualMachine> shown = new HashMap<>();
        list.forEach(machine -> shown.put(machine.name(), machine));
        boolean continues = nowNanos - lastNanos <= LONGEST_PAUSE.toNanos();
        Look look = new Look(shown, continues ? last : Optional.empty(), table, outdated, nowNanos);
        boolean shrunk =
                last.isEmpty() || table.machines().size() < lastTable.machines().size();
        long quietSince = shrunk ? nowNanos : shrunkNanos;
        Map<String, Difference> differing = look.differing(differences);
        List<MachineStatement> statements = new ArrayList<>(look.changes(differing));
        List<String> missing = look.missing(differing);
        int usual = Math.max(REMOVALS_AT_ONCE, table.machines().size() / REMOVAL_SHARE);
        if (missing.size() <= usual) {
            missing.removeIf(name -> !look.convinces(name, differing.get(name)));
            missing.forEach(name -> statements.add(look.absent(name)));
        } else if (nowNanos - quietSince >= MASS_REMOVAL_DELAY.toNanos()) {
            missing.removeIf(name -> !differing.get(name).lasted(MASS_REMOVAL_DELAY, nowNanos));
            missing.stream().limit(usual).forEach(name -> statements.add(look.absent(name)));
        }
        MachineListTracker next =
                new MachineListTracker(list, table, Optional.of(shown), differing, nowNanos, quietSince);
        return new Outcome(next, statements);
    }

    private MachineListTracker at(long nowNanos) {
        return new MachineListTracker(lastList, lastTable, last, differences, nowNanos, shrunkNanos);
    }

    /** An entry that the list has shown otherwise than it is held, since when. */
    private record Difference(Optional<VirtualMachine> shown, long sinceNanos) {
        boolean lasted(Duration time, long nowNanos) {
            return nowNanos - sinceNanos >= time.toNanos();
        }
    }

    /** One reading beside the one before and what is held. */
    private record Look(
            Map<String, VirtualMachine> shown,
            Optional<Map<String, VirtualMachine>> before,
            MachineTable table,
            boolean outdated,
            long nowNanos) {
        Map<String, Difference> differing(Map<String, Difference> earlier) {
            Set<String> names = new TreeSet<>(shown.keySet());
            table.machines().forEach(machine -> names.add(machine.name()));
            names.removeIf(name -> entry(name).equals(table.machine(name)));
            Map<String, Difference> differing = new TreeMap<>();
            for (String name : names) {
                Difference known = earlier.get(name);
                boolean same = known != null && known.shown().equals(entry(name));
                differing.put(name, same ? known : new Difference(entry(name), nowNanos));
            }
            return differing;
        }

        List<MachineStatement> changes(Map<String, Difference> differing) {
            return differing.entrySet().stream()
                    .filter(difference -> shown.containsKey(difference.getKey()))
                    .filter(difference -> convinces(difference.getKey(), difference.getValue()))
                    .map(difference -> MachineStatement.shown(table.clock() + 1, shown.get(difference.getKey())))
                    .toList();
        }

        List<String> missing(Map<String, Difference> differing) {
            return new ArrayList<>(differing.keySet().stream()
                    .filter(name -> !shown.containsKey(name))
                    .toList());
        }

        MachineStatement absent(String name) {
            return MachineStatement.absent(table.clock() + 1, name);
        }

        /** Whether the reader states what its list shows instead of what is held. */
        boolean convinces(String name, Difference difference) {
            return outdated || !table.knows(name) || changed(name) || difference.lasted(CONTRADICTION_DELAY, nowNanos);
        }

        private boolean changed(String name) {
            return before.isPresent()
                    && !Optional.ofNullable(before.get().get(name)).equals(entry(name));
        }

        private Optional<VirtualMachine> entry(String name) {
            return Optional.ofNullable(shown.get(name));
        }
    }
}
