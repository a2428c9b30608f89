package org.baobabcart.router.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.policy.rollout.RollOutTransitions;

/**
 * Holds the stops decided by this router, which it applies before the platform has stored them. A stop is valid for one
 * start of a stage: an operator who resumes the roll-out starts a new one. Confined to the control thread.
 */
final class LocalStops {
    private final Map<RollOutKey, Stop> stops = new HashMap<>();

    /**
     * A decision to stop a roll-out. Immutable.
     *
     * @param reason the reason shown to operators
     * @param decidedAtNanos the time of the decision, by the timer service's monotonic clock
     */
    record Stop(String reason, long decidedAtNanos) {}

    /** Adds a stop; returns false if there already is one for this start of the stage. */
    boolean add(RollOutKey key, String reason, long nowNanos) {
        return stops.putIfAbsent(key, new Stop(reason, nowNanos)) == null;
    }

    /** Returns the stop for the current stage of a roll-out. */
    Optional<Stop> find(RollOutProgress progress) {
        return Optional.ofNullable(stops.get(RollOutKey.of(progress)));
    }

    /** Removes all stops except those for the given starts of stages. */
    void retain(Set<RollOutKey> activeKeys) {
        stops.keySet().retainAll(activeKeys);
    }

    /**
     * Returns the published state with this router's stops applied. The generation and write id are those of the
     * published state.
     */
    RollOutState applyTo(RollOutState published) {
        RollOutState state = published;
        for (RollOutProgress progress : published.progress()) {
            Optional<Stop> stop = find(progress);
            if (stop.isPresent() && progress.status() != RollOutStatus.STOPPED) {
                state = RollOutTransitions.stopped(state, progress, stop.get().reason(), published.writeId());
            }
        }
        return new RollOutState(published.generation(), published.writeId(), state.progress(), state.withdrawals());
    }
}
