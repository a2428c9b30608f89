package org.baobabcart.router.rollout;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.policy.rollout.RollOutTransitions;
import org.baobabcart.policy.rollout.RollOutVerdict;

/**
 * Creates the changes that a router proposes to write. Each change re-evaluates the state just read from the platform
 * and computes no new state if another router, or an earlier write whose answer was lost, has already made it.
 * Stateless.
 */
final class RollOutProposals {
    private RollOutProposals() {}

    /**
     * Returns a change that writes the first stop of this router that the platform has not stored and that is at least
     * as old as {@code minimumAge}.
     */
    static Optional<RollOutChange> stop(RollOutState published, LocalStops stops, long nowNanos, Duration minimumAge) {
        return published.progress().stream()
                .filter(progress -> progress.status() != RollOutStatus.STOPPED)
                .filter(progress -> stops.find(progress)
                        .filter(stop -> nowNanos - stop.decidedAtNanos() >= minimumAge.toNanos())
                        .isPresent())
                .findFirst()
                .map(progress -> stop(
                        RollOutKey.of(progress),
                        stops.find(progress).orElseThrow().reason()));
    }

    /** Returns a change that starts a roll-out or takes one over. */
    static Optional<RollOutChange> beginOrTakeOver(Sheet sheet, RollOutState published, String controller) {
        return sheet.rollOuts().stream()
                .map(rollOut -> beginOrTakeOver(sheet, rollOut, published, controller))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Returns a change that advances a roll-out controlled by this router to its next stage. */
    static Optional<RollOutChange> advance(Map<ActiveRollOut, RollOutVerdict> verdicts, String controller) {
        return verdicts.entrySet().stream()
                .filter(entry -> entry.getValue().kind() == RollOutVerdict.Kind.ADVANCE)
                .map(Map.Entry::getKey)
                .filter(rollOut -> isControlledBy(controller).test(rollOut.progress()))
                .findFirst()
                .map(rollOut -> advance(rollOut.rollOut(), rollOut.stageKey(), controller));
    }

    /** Returns a hand-over if the published state names this router as a controller. */
    static Optional<RollOutChange> handOverIfControlled(RollOutState published, String controller) {
        return published.progress().stream().anyMatch(isControlledBy(controller))
                ? Optional.of(handOver(controller))
                : Optional.empty();
    }

    /**
     * Returns a change that gives up control of all running roll-outs of a router that stops or is no longer selected
     * as controller.
     */
    static RollOutChange handOver(String controller) {
        return (current, writeId) -> current.progress().stream()
                .filter(isControlledBy(controller))
                .findFirst()
                .map(progress -> handedOver(current, controller, writeId));
    }

    private static RollOutState handedOver(RollOutState current, String controller, String writeId) {
        RollOutState state = current;
        for (RollOutProgress progress : current.progress()) {
            if (isControlledBy(controller).test(progress)) {
                state = RollOutTransitions.handedOver(state, progress, writeId);
            }
        }
        return new RollOutState(current.generation() + 1, writeId, state.progress(), state.withdrawals());
    }

    private static RollOutChange stop(RollOutKey key, String reason) {
        return (current, writeId) -> progressAt(current, key)
                .filter(progress -> progress.status() != RollOutStatus.STOPPED)
                .map(progress -> RollOutTransitions.stopped(current, progress, reason, writeId));
    }

    private static Optional<RollOutChange> beginOrTakeOver(
            Sheet sheet, RollOut rollOut, RollOutState published, String controller) {
        RollOutChange change = (current, writeId) -> {
            boolean withdrawn = sheet.isWithdrawn(rollOut.model(), rollOut.to())
                    || current.isWithdrawn(rollOut.model(), rollOut.to());
            Optional<RollOutProgress> progress = RollOutTransitions.progress(current, rollOut);
            if (progress.isPresent()) {
                return RollOutTransitions.takenOver(current, rollOut, progress.get(), controller, writeId);
            }
            return withdrawn
                    ? Optional.empty()
                    : Optional.of(RollOutTransitions.started(current, rollOut, controller, writeId));
        };
        return change.apply(published, "").isPresent() ? Optional.of(change) : Optional.empty();
    }

    private static RollOutChange advance(RollOut rollOut, RollOutKey key, String controller) {
        return (current, writeId) -> progressAt(current, key)
                .filter(isControlledBy(controller))
                .map(progress -> RollOutTransitions.advanced(current, rollOut, progress, writeId));
    }

    private static Optional<RollOutProgress> progressAt(RollOutState state, RollOutKey key) {
        return state.of(key.model()).filter(progress -> RollOutKey.of(progress).equals(key));
    }

    private static Predicate<RollOutProgress> isControlledBy(String controller) {
        return progress -> progress.status() == RollOutStatus.RUNNING
                && progress.controller().equals(controller);
    }
}
