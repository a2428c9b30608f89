package org.baobabcart.cli.fleet;

import java.time.Duration;

/** Time between polls of a command; tests advance it by hand. */
public interface Pauses {
    /** Monotonic time in nanoseconds with an arbitrary origin. */
    long nanoTime();

    /** Waits for a duration. */
    void pause(Duration duration);

    /** Pauses by the system's own clock. */
    static Pauses system() {
        return new SystemPauses();
    }
}
