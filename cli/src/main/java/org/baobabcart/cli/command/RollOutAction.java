package org.baobabcart.cli.command;

import java.util.List;
import java.util.Locale;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;

/** What operators do to a version that is rolling out or in service. */
enum RollOutAction {
    /** The share of the current stage stays until it is resumed. */
    PAUSE("keep the share of a roll-out's stage until it is resumed") {
        @Override
        RollOutState apply(RollOutState before, Sheet sheet, String model, String version, String writeId) {
            RollOutProgress progress = progress(before, sheet, model, version);
            return before.withProgress(progress.withStatus(RollOutStatus.PAUSED, BY_OPERATOR), writeId);
        }
    },
    /** The roll-out goes on from the stage where it stands. */
    RESUME("go on with a roll-out that was paused, stopped or withdrawn") {
        @Override
        RollOutState apply(RollOutState before, Sheet sheet, String model, String version, String writeId) {
            RollOutProgress progress = progress(before, sheet, model, version);
            RollOutState running =
                    before.withProgress(progress.withStatus(RollOutStatus.RUNNING, BY_OPERATOR), writeId);
            List<Withdrawal> others = before.withdrawals().stream()
                    .filter(entry -> !entry.equals(new Withdrawal(model, version)))
                    .toList();
            return new RollOutState(running.generation(), writeId, running.progress(), others);
        }
    },
    /** The version gets no new work. */
    WITHDRAW("give a version no new work, from any session or queue") {
        @Override
        RollOutState apply(RollOutState before, Sheet sheet, String model, String version, String writeId) {
            return before.withWithdrawal(new Withdrawal(model, version), writeId);
        }
    };

    private static final String BY_OPERATOR = "by an operator";

    private final String help;

    RollOutAction(String help) {
        this.help = help;
    }

    /** The next state. */
    abstract RollOutState apply(RollOutState before, Sheet sheet, String model, String version, String writeId);

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    String help() {
        return help;
    }

    private static RollOutProgress progress(RollOutState state, Sheet sheet, String model, String version) {
        boolean declared = sheet.rollOut(model)
                .filter(rollOut -> rollOut.to().equals(version))
                .isPresent();
        if (!declared) {
            throw BaobabcartException.of(ResultCode.NOT_FOUND, "the sheet has no roll-out to this version")
                    .withLocation(model + "@" + version);
        }
        return state.of(model)
                .filter(entry -> entry.to().equals(version))
                .orElse(new RollOutProgress(model, version, RollOutStatus.RUNNING, 0, ""));
    }
}
