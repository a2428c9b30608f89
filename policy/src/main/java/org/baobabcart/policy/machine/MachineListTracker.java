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
 * Tracks successive VM lists of one reader and derives the statements that the reader publishes. Immutable.
 *
 * <p>Readers may get lists of different age. A reader states a change as soon as its own list changes. Otherwise it
 * contradicts the replicated table only after its list has differed for some time, so that an outdated list doesn't
 * revert a change that another reader has already seen.
 */
public final class MachineListTracker {
    /** How long a list has to differ from the table before a reader that saw no change contradicts the table. */
    static final Duration CONTRADICTION_DELAY = Duration.ofSeconds(10);

    /** How long more missing entries than usual have to be missing before some of them are removed. */
    static final Duration MASS_REMOVAL_DELAY = Duration.ofSeconds(30);

    /** After a longer pause the last list can't tell what has changed recently, so it is ignored. */
    static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(3);

    /** The number of entries that may go missing at once in a list of any size. */
    static final int REMOVALS_AT_ONCE = 2;

    /** The divisor for longer lists: one in this many entries may go missing at once. */
    static final int REMOVAL_DIVISOR = 4;

    private static final MachineListTracker EMPTY =
            new MachineListTracker(List.of(), MachineTable.empty(), Optional.empty(), Map.of(), 0, 0);

    private final List<VirtualMachine> lastList;
    private final MachineTable lastTable;
    private final Optional<Map<String, VirtualMachine>> lastEntries;
    private final Map<String, Difference> differences;
    private final long lastNanos;
    private final long lastShrunkNanos;

    /**
     * Result of processing a list.
     *
     * @param tracker the reader's new state
     * @param statements the statements to publish
     */
    public record Outcome(MachineListTracker tracker, List<MachineStatement> statements) {}

    private MachineListTracker(
            List<VirtualMachine> lastList,
            MachineTable lastTable,
            Optional<Map<String, VirtualMachine>> lastEntries,
            Map<String, Difference> differences,
            long lastNanos,
            long lastShrunkNanos) {
        this.lastList = lastList;
        this.lastTable = lastTable;
        this.lastEntries = lastEntries;
        this.differences = differences;
        this.lastNanos = lastNanos;
        this.lastShrunkNanos = lastShrunkNanos;
    }

    /** Returns the state of a reader that has not read any list. */
    public static MachineListTracker empty() {
        return EMPTY;
    }

    /**
     * Processes a list that was read. An empty list is ignored, since it lacks even the routers. The same list and
     * table instances as before are not compared again.
     *
     * @param list the entries of the list
     * @param table the replicated table
     * @param outdated whether no reader is known to have read the list recently, so that this list is newer than the
     *     table
     * @param nowNanos monotonic time
     */
    public Outcome read(List<VirtualMachine> list, MachineTable table, boolean outdated, long nowNanos) {
        if (list.isEmpty()) {
            return new Outcome(this, List.of());
        }
        if (list == lastList && table == lastTable && differences.isEmpty()) {
            return new Outcome(withTime(nowNanos), List.of());
        }
        Map<String, VirtualMachine> listed = new HashMap<>();
        list.forEach(machine -> listed.put(machine.name(), machine));
        boolean isRecent = nowNanos - lastNanos <= MAXIMUM_PAUSE.toNanos();
        ListComparison comparison =
                new ListComparison(listed, isRecent ? lastEntries : Optional.empty(), table, outdated, nowNanos);
        boolean shrunk = lastEntries.isEmpty()
                || table.machines().size() < lastTable.machines().size();
        long shrunkNanos = shrunk ? nowNanos : lastShrunkNanos;
        Map<String, Difference> differing = comparison.findDifferences(differences);
        List<MachineStatement> statements = new ArrayList<>(comparison.changes(differing));
        List<String> missing = comparison.missing(differing);
        int maximumRemovals = Math.max(REMOVALS_AT_ONCE, table.machines().size() / REMOVAL_DIVISOR);
        if (missing.size() <= maximumRemovals) {
            missing.removeIf(name -> !comparison.isPublishable(name, differing.get(name)));
            missing.forEach(name -> statements.add(comparison.absent(name)));
        } else if (nowNanos - shrunkNanos >= MASS_REMOVAL_DELAY.toNanos()) {
            missing.removeIf(name -> !differing.get(name).hasLasted(MASS_REMOVAL_DELAY, nowNanos));
            missing.stream().limit(maximumRemovals).forEach(name -> statements.add(comparison.absent(name)));
        }
        MachineListTracker next =
                new MachineListTracker(list, table, Optional.of(listed), differing, nowNanos, shrunkNanos);
        return new Outcome(next, statements);
    }

    private MachineListTracker withTime(long nowNanos) {
        return new MachineListTracker(lastList, lastTable, lastEntries, differences, nowNanos, lastShrunkNanos);
    }

    /** An entry for which the list differs from the table, and since when. */
    private record Difference(Optional<VirtualMachine> listed, long sinceNanos) {
        boolean hasLasted(Duration time, long nowNanos) {
            return nowNanos - sinceNanos >= time.toNanos();
        }
    }

    /** Compares a list with the previous list and with the replicated table. */
    private record ListComparison(
            Map<String, VirtualMachine> listed,
            Optional<Map<String, VirtualMachine>> previous,
            MachineTable table,
            boolean outdated,
            long nowNanos) {
        Map<String, Difference> findDifferences(Map<String, Difference> earlier) {
            Set<String> names = new TreeSet<>(listed.keySet());
            table.machines().forEach(machine -> names.add(machine.name()));
            names.removeIf(name -> entry(name).equals(table.machine(name)));
            Map<String, Difference> differing = new TreeMap<>();
            for (String name : names) {
                Difference known = earlier.get(name);
                boolean isSame = known != null && known.listed().equals(entry(name));
                differing.put(name, isSame ? known : new Difference(entry(name), nowNanos));
            }
            return differing;
        }

        List<MachineStatement> changes(Map<String, Difference> differing) {
            return differing.entrySet().stream()
                    .filter(difference -> listed.containsKey(difference.getKey()))
                    .filter(difference -> isPublishable(difference.getKey(), difference.getValue()))
                    .map(difference -> MachineStatement.present(table.clock() + 1, listed.get(difference.getKey())))
                    .toList();
        }

        List<String> missing(Map<String, Difference> differing) {
            return new ArrayList<>(differing.keySet().stream()
                    .filter(name -> !listed.containsKey(name))
                    .toList());
        }

        MachineStatement absent(String name) {
            return MachineStatement.absent(table.clock() + 1, name);
        }

        /** Returns whether the reader states the entry of its list in contradiction to the table. */
        boolean isPublishable(String name, Difference difference) {
            return outdated
                    || !table.hasStatement(name)
                    || hasChanged(name)
                    || difference.hasLasted(CONTRADICTION_DELAY, nowNanos);
        }

        private boolean hasChanged(String name) {
            return previous.isPresent()
                    && !Optional.ofNullable(previous.get().get(name)).equals(entry(name));
        }

        private Optional<VirtualMachine> entry(String name) {
            return Optional.ofNullable(listed.get(name));
        }
    }
}
