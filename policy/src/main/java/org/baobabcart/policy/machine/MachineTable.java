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
 * The greatest statement about each name. Immutable.
 *
 * <p>Taking in statements is commutative, associative and idempotent while no removal is forgotten (Shapiro, Preguiça,
 * Baquero and Zawirski, "Conflict-Free Replicated Data Types", 2011). A removal is forgotten once the clock has gone
 * on by {@value #REMOVALS_KEPT}.
 */
public final class MachineTable {
    /** By how much the clock outgrows a removal before it is forgotten. */
    static final long REMOVALS_KEPT = 4_096;

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

    /** A table that knows of no VM. */
    public static MachineTable empty() {
        return EMPTY;
    }

    /** This table with these statements; the same instance if none of them is new. */
    public MachineTable with(Collection<MachineStatement> more) {
        List<MachineStatement> news = more.stream().filter(this::isNew).toList();
        if (news.isEmpty()) {
            return this;
        }
        Map<String, MachineStatement> merged = new TreeMap<>(statements);
        long highest = clock;
        for (MachineStatement statement : news) {
            merged.merge(statement.name(), statement, (held, offered) -> offered.supersedes(held) ? offered : held);
            highest = Math.max(highest, statement.clock());
        }
        return of(merged, highest);
    }

    /** This table at a clock that is at least the given one, since a peer with the same entries has that. */
    public MachineTable atLeast(long heardClock) {
        return heardClock <= clock ? this : of(new TreeMap<>(statements), heardClock);
    }

    /** The entries of the list, in the order of their names. */
    public List<VirtualMachine> machines() {
        return machines;
    }

    /** The entry of this name, if the list has one. */
    public Optional<VirtualMachine> machine(String name) {
        return Optional.ofNullable(statements.get(name)).flatMap(MachineStatement::machine);
    }

    /** Whether anything was ever said about this name and not forgotten. */
    public boolean knows(String name) {
        return statements.containsKey(name);
    }

    /** The statements with a clock above this one; all of them for zero. */
    public List<MachineStatement> since(long floor) {
        return statements.values().stream()
                .filter(statement -> statement.clock() > floor)
                .toList();
    }

    /** Whether something above a clock is known here that is not among a peer's statements above that clock. */
    public boolean isAheadOf(Collection<MachineStatement> peers, long floor) {
        Map<String, Optional<VirtualMachine>> said = new HashMap<>();
        peers.forEach(statement -> said.put(statement.name(), statement.machine()));
        return since(floor).stream().anyMatch(held -> !held.machine().equals(said.get(held.name())));
    }

    /** The greatest clock that was heard of. */
    public long clock() {
        return clock;
    }

    /** The same for tables with the same entries, whatever their clocks, and otherwise almost surely another one. */
    public long digest() {
        return digest;
    }

    private boolean isNew(MachineStatement statement) {
        MachineStatement held = statements.get(statement.name());
        return held == null || statement.supersedes(held);
    }

    private static MachineTable of(Map<String, MachineStatement> merged, long highest) {
        merged.values()
                .removeIf(statement -> statement.machine().isEmpty() && statement.clock() + REMOVALS_KEPT < highest);
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
