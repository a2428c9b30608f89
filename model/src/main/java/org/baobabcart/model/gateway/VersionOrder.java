package org.baobabcart.model.gateway;

import java.time.Duration;

/**
 * The operator's order to move a service to another version. Immutable.
 *
 * @param service the service
 * @param target the version to move to
 * @param duration the time in which the move has to be done
 * @param state how far it has come, as last written to the platform
 * @param progress how far the move has come, as a router last wrote it to the platform
 * @param resourceVersion the platform's version of the order
 * @param created the platform's mark of the order's creation, by which a new order of the same name is told apart
 */
public record VersionOrder(
        String service,
        String target,
        Duration duration,
        State state,
        MoveProgress progress,
        String resourceVersion,
        String created) {
    /** The same order in another state. */
    public VersionOrder withState(State newState) {
        return new VersionOrder(service, target, duration, newState, progress, resourceVersion, created);
    }

    /** The same order with another progress. */
    public VersionOrder withProgress(MoveProgress newProgress) {
        return new VersionOrder(service, target, duration, state, newProgress, resourceVersion, created);
    }

    /** Whether both are the same order of the operator, whatever has become of it. */
    public boolean isSameOrder(VersionOrder other) {
        return service.equals(other.service)
                && target.equals(other.target)
                && created.equals(other.created)
                && duration.equals(other.duration);
    }

    /** How far an order has come. */
    public enum State {
        /** Nobody has taken it up. */
        ORDERED(false),
        /** Traffic is being moved. */
        MOVING(false),
        /** All traffic is on the target. */
        COMPLETED(true),
        /** All traffic is back on the versions before. */
        WITHDRAWN(true);

        private final boolean ended;

        State(boolean ended) {
            this.ended = ended;
        }

        /** Whether the order needs no more work. */
        public boolean ended() {
            return ended;
        }
    }
}
