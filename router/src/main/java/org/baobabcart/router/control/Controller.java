package org.baobabcart.router.control;

import io.smallrye.mutiny.Uni;

/** A component that reads and writes the blackboard. Both methods are called on the control thread. */
public interface Controller {
    /** Subscribes to timers and sections and starts working. */
    void start();

    /** Stops accepting work, finishes or hands over open work, and completes when that is done. */
    Uni<Void> stop();
}
