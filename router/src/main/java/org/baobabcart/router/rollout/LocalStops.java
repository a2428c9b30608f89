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
 * Stops that this router has decided and acts on, whether or not the platform holds them yet. Confined to the control
 * thread. A stop holds for one beginning of a stage: an operator who resumes the roll-out begins another.
 */
final class LocalStops {
    private final Map<RollOutKey, Stop> stops = new HashMap<>();

    /**
     * A stop. Immutable.
     *
     * @param reason why, for operators
     * @param decidedAtNanos when, by the timer service's monotonic time
     */
    record Stop(String reason, long decidedAtNanos) {}

    /** Adds a stop; false if it was known. */
    boolean add(RollOutKey key, String reason, long nowNanos) {
        return stops.putIfAbsent(key, new Stop(reason, nowNanos)) == null;
    }

    /** The stop of a roll-out's present stage. */
    Optional<Stop> of(RollOutProgress progress) {
        return Optional.ofNullable(stops.get(RollOutKey.of(progress)));
    }

    /** Forgets stages that are over. */
    void retain(Set<RollOutKey> known) {
        stops.keySet().retainAll(known);
    }

    /** The published state with the stops of this router, at the published generation. */
    RollOutState applied(RollOutState published) {
        RollOutState state = published;
        for (RollOutProgress progress : published.progress()) {
            Optional<Stop> stop = of(progress);
            if (stop.isPresent() && progress.status() != RollOutStatus.STOPPED) {
                state = RollOutTransitions.stopped(state, progress, stop.get().reason(), published.writeId());
            }
        }
        return new RollOutState(published.generation(), published.writeId(), state.progress(), state.withdrawals());
    }
}
