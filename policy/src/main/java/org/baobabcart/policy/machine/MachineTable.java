package org.baobabcart.policy.machine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Replicated table of the VM list, with the greatest statement about each name. Immutable.
 *
 * <p>Merging statements is commutative, associative and idempotent as long as no removal is discarded (Shapiro,
 * Preguiça, Baquero and Zawirski, "Conflict-Free Replicated Data Types", 2011). A removal is discarded once the clock
 * has advanced by {@value #REMOVAL_RETENTION}.
 */
public final class MachineTable {
    /** How far the clock advances beyond a removal before the removal is discarded. */
    static final long REMOVAL_RETENTION = 4_096;

    private static final MachineTable EMPTY = new MachineTable(new TreeMap<>(), 0, 0, List.of());

    private final Map<String, MachineStatement> statements;
    private final long clock;
    private final long digest;
    private final List<VirtualMachine> machines;

    private MachineTable(
            Map<String, MachineStatement> statements, long clock, long digest, List<VirtualMachine> machines) {
        this.statements = statements;
        this.clock = clock;
        this.digest = digest;
        this.machines = machines;
    }

    /** Returns a table without VMs. */
    public static MachineTable empty() {
        return EMPTY;
    }

    /** Returns this table merged with these statements; the same instance if none of them is new. */
    public MachineTable with(Collection<MachineStatement> added) {
        List<MachineStatement> newStatements =
                added.stream().filter(this::isNew).toList();
        if (newStatements.isEmpty()) {
            return this;
        }
        Map<String, MachineStatement> merged = new TreeMap<>(statements);
        long highest = clock;
        for (MachineStatement statement : newStatements) {
            merged.merge(statement.name(), statement, (known, offered) -> offered.supersedes(known) ? offered : known);
            highest = Math.max(highest, statement.clock());
        }
        return of(merged, highest);
    }

    /** Returns this table with its clock raised to the given one, which a peer with the same entries has. */
    public MachineTable withClockAtLeast(long peerClock) {
        return peerClock <= clock ? this : of(new TreeMap<>(statements), peerClock);
    }

    /** Returns the entries of the list, sorted by name. */
    public List<VirtualMachine> machines() {
        return machines;
    }

    /** Returns the entry of this name, if the list has one. */
    public Optional<VirtualMachine> machine(String name) {
        return Optional.ofNullable(statements.get(name)).flatMap(MachineStatement::machine);
    }

    /** Returns whether the table has a statement about this name, including removals that are not discarded yet. */
    public boolean hasStatement(String name) {
        return statements.containsKey(name);
    }

    /** Returns the statements with a clock greater than the given one; all statements for zero. */
    public List<MachineStatement> statementsAfter(long afterClock) {
        return statements.values().stream()
                .filter(statement -> statement.clock() > afterClock)
                .toList();
    }

    /**
     * Returns whether this table has an entry or removal above the given clock that differs from the peer's statements
     * above it.
     */
    public boolean isAheadOf(Collection<MachineStatement> peers, long afterClock) {
        Map<String, Optional<VirtualMachine>> peerEntries = new HashMap<>();
        peers.forEach(statement -> peerEntries.put(statement.name(), statement.machine()));
        return statementsAfter(afterClock).stream()
                .anyMatch(known -> !known.machine().equals(peerEntries.get(known.name())));
    }

    /** Returns the greatest clock received so far. */
    public long clock() {
        return clock;
    }

    /**
     * Returns a digest that is equal for tables with equal entries, whatever their clocks, and differs otherwise with
     * high probability.
     */
    public long digest() {
        return digest;
    }

    private boolean isNew(MachineStatement statement) {
        MachineStatement known = statements.get(statement.name());
        return known == null || statement.supersedes(known);
    }

    private static MachineTable of(Map<String, MachineStatement> merged, long highest) {
        merged.values()
                .removeIf(
                        statement -> statement.machine().isEmpty() && statement.clock() + REMOVAL_RETENTION < highest);
        List<VirtualMachine> present = merged.values().stream()
                .flatMap(statement -> statement.machine().stream())
                .toList();
        long digest = merged.values().stream()
                .filter(statement -> statement.machine().isPresent())
                .mapToLong(statement -> RendezvousHash.weight(statement.name(), statement.text()))
                .sum();
        return new MachineTable(merged, highest, digest, present);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MachineTable table && clock == table.clock && statements.equals(table.statements);
    }

    @Override
    public int hashCode() {
        return statements.hashCode();
    }

    @Override
    public String toString() {
        return "clock " + clock + " " + statements.values();
    }
}
