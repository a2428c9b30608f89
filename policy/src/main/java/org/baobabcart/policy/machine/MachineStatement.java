package org.baobabcart.policy.machine;

import java.util.Comparator;
import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * A versioned statement by a reader of the VM list about one of its entries. Immutable.
 *
 * @param clock a logical clock (Lamport, "Time, Clocks, and the Ordering of Events in a Distributed System", 1978),
 *     greater than that of every statement that the reader had received
 * @param name the VM's name
 * @param machine the entry, or empty if the list has none
 */
public record MachineStatement(long clock, String name, Optional<VirtualMachine> machine) {
    private static final Comparator<MachineStatement> ORDER = Comparator.comparingLong(MachineStatement::clock)
            .thenComparing(MachineStatement::removalRank)
            .thenComparing(MachineStatement::text);

    /** Returns a statement that the list contains this entry. */
    public static MachineStatement present(long clock, VirtualMachine machine) {
        return new MachineStatement(clock, machine.name(), Optional.of(machine));
    }

    /** Returns a statement that the list has no entry of this name. */
    public static MachineStatement absent(long clock, String name) {
        return new MachineStatement(clock, name, Optional.empty());
    }

    /** Returns whether this statement replaces another one about the same name; the order is total. */
    public boolean supersedes(MachineStatement other) {
        return ORDER.compare(this, other) > 0;
    }

    /** Returns the entry's fields as one text, which is equal for equal entries only. */
    String text() {
        return machine.map(MachineStatement::text).orElse("");
    }

    /** Returns the tie-breaker at equal clocks: absent wins over leaving, leaving over live. */
    private int removalRank() {
        return machine.map(entry -> entry.state().ordinal()).orElse(VirtualMachine.State.values().length);
    }

    private static String text(VirtualMachine entry) {
        return String.join(
                "\n",
                entry.name(),
                entry.role().name(),
                entry.dataCentre(),
                entry.state().name(),
                entry.address(),
                entry.model(),
                entry.version(),
                entry.service());
    }
}
