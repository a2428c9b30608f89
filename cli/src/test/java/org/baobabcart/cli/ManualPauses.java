package org.baobabcart.cli;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.baobabcart.cli.fleet.Pauses;

/** Time that passes only in pauses; an action may run in each of the first pauses. */
public final class ManualPauses implements Pauses {
    private final Queue<Runnable> actions = new ArrayDeque<>();
    private long now;

    public void duringNext(Runnable action) {
        actions.add(action);
    }

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public void pause(Duration duration) {
        now += duration.toNanos();
        if (!actions.isEmpty()) {
            actions.remove().run();
        }
    }
}
