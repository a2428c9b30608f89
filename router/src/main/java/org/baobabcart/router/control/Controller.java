package org.baobabcart.router.control;

import io.smallrye.mutiny.Uni;

/** A part that reads and writes the blackboard. Both methods run on the control thread. */
public interface Controller {
    /** Subscribes to timers and sections and starts work. */
    void start();

    /** Stops taking new work, finishes or hands over what is open, and completes when that is done. */
    Uni<Void> stop();
}
