package org.baobabcart.cli.fleet;

import java.time.Duration;

/** Clock of commands that poll; tests replace it with a manual clock. */
public interface PollClock {
    /** Returns the monotonic time in nanoseconds with an arbitrary origin. */
    long nanoTime();

    /** Sleeps for a duration. */
    void sleep(Duration duration);

    /** Returns the system clock. */
    static PollClock system() {
        return new SystemPollClock();
    }
}
