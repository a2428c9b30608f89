package org.baobabcart.model.gateway;

import java.time.Duration;

/**
 * The operator's order to move a service to another version. Immutable.
 *
 * @param service the name of the service
 * @param target the version to move to
 * @param duration the time in which the move must be completed
 * @param state the state, as last written to the platform
 * @param progress the progress of the move, as last written to the platform by a router
 * @param resourceVersion the order's resource version in the platform
 * @param created the platform's creation mark, which distinguishes a new order from an earlier one with the same name
 */
public record VersionOrder(
        String service,
        String target,
        Duration duration,
        State state,
        MoveProgress progress,
        String resourceVersion,
        String created) {
    /** Returns a copy with another state. */
    public VersionOrder withState(State newState) {
        return new VersionOrder(service, target, duration, newState, progress, resourceVersion, created);
    }

    /** Returns a copy with another progress. */
    public VersionOrder withProgress(MoveProgress newProgress) {
        return new VersionOrder(service, target, duration, state, newProgress, resourceVersion, created);
    }

    /** Returns whether both are the same order of the operator, regardless of state and progress. */
    public boolean isSameOrder(VersionOrder other) {
        return service.equals(other.service)
                && target.equals(other.target)
                && created.equals(other.created)
                && duration.equals(other.duration);
    }

    /** The state of an order. */
    public enum State {
        /** No router has started the move. */
        ORDERED(false),
        /** Traffic is being moved. */
        MOVING(false),
        /** All traffic is sent to the target. */
        COMPLETED(true),
        /** All traffic is sent to the previous versions again. */
        WITHDRAWN(true);

        private final boolean ended;

        State(boolean ended) {
            this.ended = ended;
        }

        /** Returns whether the order needs no further action. */
        public boolean ended() {
            return ended;
        }
    }
}
