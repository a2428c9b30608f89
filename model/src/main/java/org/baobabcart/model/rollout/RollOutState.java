package org.baobabcart.model.rollout;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.sheet.Withdrawal;

/**
 * The progress of all roll-outs, and withdrawals that are not part of the sheet. Immutable.
 *
 * <p>It is stored separately from the sheet, so that publishing a sheet never reverts a withdrawal.
 *
 * @param generation a number that increases by one with each accepted change
 * @param writeId the id of the write that created this state, which shows after a lost response whether the write took effect
 * @param progress one entry per model
 * @param withdrawals the versions withdrawn by operators or by the system
 */
public record RollOutState(
        long generation, String writeId, List<RollOutProgress> progress, List<Withdrawal> withdrawals) {
    private static final RollOutState EMPTY = new RollOutState(0, "", List.of(), List.of());

    /** Copies the lists and replaces null by empty lists. */
    public RollOutState {
        progress = progress == null ? List.of() : List.copyOf(progress);
        withdrawals = withdrawals == null ? List.of() : List.copyOf(withdrawals);
    }

    /** Returns the state without any roll-out or withdrawal. */
    public static RollOutState empty() {
        return EMPTY;
    }

    /** Returns the progress of a model's roll-out, if any. */
    public Optional<RollOutProgress> of(String model) {
        return progress.stream().filter(entry -> entry.model().equals(model)).findFirst();
    }

    /** Returns whether this state withdraws the version. */
    public boolean isWithdrawn(String model, String version) {
        return withdrawals.contains(new Withdrawal(model, version));
    }

    /** Returns the next generation with another progress of one model. */
    public RollOutState withProgress(RollOutProgress changed, String newWriteId) {
        List<RollOutProgress> others = progress.stream()
                .filter(entry -> !entry.model().equals(changed.model()))
                .toList();
        List<RollOutProgress> all =
                Stream.concat(others.stream(), Stream.of(changed)).toList();
        return new RollOutState(generation + 1, newWriteId, all, withdrawals);
    }

    /** Returns the next generation with an additional withdrawal. */
    public RollOutState withWithdrawal(Withdrawal withdrawal, String newWriteId) {
        List<Withdrawal> all = Stream.concat(withdrawals.stream(), Stream.of(withdrawal))
                .distinct()
                .toList();
        return new RollOutState(generation + 1, newWriteId, progress, all);
    }

    /** Returns the next generation without a withdrawal, for a version that operators have reinstated. */
    public RollOutState withoutWithdrawal(Withdrawal withdrawal, String newWriteId) {
        List<Withdrawal> all =
                withdrawals.stream().filter(entry -> !entry.equals(withdrawal)).toList();
        return new RollOutState(generation + 1, newWriteId, progress, all);
    }
}
