package org.baobabcart.policy.machine;

import java.util.Comparator;
import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * What a reader of the list of VMs said of one entry. Immutable.
 *
 * @param clock a logical clock (Lamport, "Time, Clocks, and the Ordering of Events in a Distributed System", 1978),
 *     greater than that of every statement that the reader knew
 * @param name the VM's name
 * @param machine the entry; empty if the list has none
 */
public record MachineStatement(long clock, String name, Optional<VirtualMachine> machine) {
    private static final Comparator<MachineStatement> ORDER = Comparator.comparingLong(MachineStatement::clock)
            .thenComparing(MachineStatement::withdrawal)
            .thenComparing(MachineStatement::text);

    /** A statement that the list shows this entry. */
    public static MachineStatement shown(long clock, VirtualMachine machine) {
        return new MachineStatement(clock, machine.name(), Optional.of(machine));
    }

    /** A statement that the list has no entry of this name. */
    public static MachineStatement absent(long clock, String name) {
        return new MachineStatement(clock, name, Optional.empty());
    }

    /** Whether this statement replaces another one about the same name; the order is total. */
    public boolean supersedes(MachineStatement other) {
        return ORDER.compare(this, other) > 0;
    }

    /** The entry's fields as one text, equal for equal entries only. */
    String text() {
        return machine.map(MachineStatement::text).orElse("");
    }

    /** At the same clock the statement that takes away more wins: absent, then leaving, then live. */
    private int withdrawal() {
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
