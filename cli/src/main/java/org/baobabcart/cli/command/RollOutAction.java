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

/** Operator actions on the roll-out or availability of a model version. */
enum RollOutAction {
    /** Keeps the share of the current stage until the roll-out is resumed. */
    PAUSE("keep the share of the current stage until the roll-out is resumed") {
        @Override
        RollOutState apply(RollOutState before, Sheet sheet, String model, String version, String writeId) {
            RollOutProgress progress = progress(before, sheet, model, version);
            return before.withProgress(progress.withStatus(RollOutStatus.PAUSED, BY_OPERATOR), writeId);
        }
    },
    /** Continues the roll-out from its current stage and reinstates the version if it was withdrawn. */
    RESUME("continue a roll-out that was paused, stopped or withdrawn") {
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
    /** Sends no new requests to the version. */
    WITHDRAW("send no new requests to a version, including those of sessions and queues") {
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

    /** Returns the state after the action. */
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
