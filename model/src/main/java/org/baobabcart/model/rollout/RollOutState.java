package org.baobabcart.model.rollout;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.sheet.Withdrawal;

/**
 * Progress of all roll-outs and the withdrawals decided while a sheet is in force. Immutable.
 *
 * <p>It is kept apart from the sheet so that the publishing of a sheet never undoes a withdrawal.
 *
 * @param generation a number that grows by one with each accepted change
 * @param writeId the id of the write that made this state, by which a lost answer is settled
 * @param progress one entry a model
 * @param withdrawals versions withdrawn by operators or by the system
 */
public record RollOutState(
        long generation, String writeId, List<RollOutProgress> progress, List<Withdrawal> withdrawals) {
    private static final RollOutState EMPTY = new RollOutState(0, "", List.of(), List.of());

    /** Copies the lists. */
    public RollOutState {
        progress = progress == null ? List.of() : List.copyOf(progress);
        withdrawals = withdrawals == null ? List.of() : List.copyOf(withdrawals);
    }

    /** The state before any roll-out. */
    public static RollOutState empty() {
        return EMPTY;
    }

    /** The progress of a model's roll-out, if there is any. */
    public Optional<RollOutProgress> of(String model) {
        return progress.stream().filter(entry -> entry.model().equals(model)).findFirst();
    }

    /** Whether the version was withdrawn while a sheet was in force. */
    public boolean isWithdrawn(String model, String version) {
        return withdrawals.contains(new Withdrawal(model, version));
    }

    /** The next state with other progress of one model. */
    public RollOutState withProgress(RollOutProgress changed, String newWriteId) {
        List<RollOutProgress> others = progress.stream()
                .filter(entry -> !entry.model().equals(changed.model()))
                .toList();
        List<RollOutProgress> all =
                Stream.concat(others.stream(), Stream.of(changed)).toList();
        return new RollOutState(generation + 1, newWriteId, all, withdrawals);
    }

    /** The next state with one more withdrawal. */
    public RollOutState withWithdrawal(Withdrawal withdrawal, String newWriteId) {
        List<Withdrawal> all = Stream.concat(withdrawals.stream(), Stream.of(withdrawal))
                .distinct()
                .toList();
        return new RollOutState(generation + 1, newWriteId, progress, all);
    }

    /** The next state without a withdrawal, after operators have reinstated the version. */
    public RollOutState withoutWithdrawal(Withdrawal withdrawal, String newWriteId) {
        List<Withdrawal> all =
                withdrawals.stream().filter(entry -> !entry.equals(withdrawal)).toList();
        return new RollOutState(generation + 1, newWriteId, progress, all);
    }
}
