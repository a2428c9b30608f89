package org.baobabcart.router.testing;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Queues tasks until {@link #runAll} runs them in order, as a control thread does. */
public final class ManualExecutor implements Executor {
    private final Queue<Runnable> tasks = new ArrayDeque<>();

    private ManualExecutor() {}

    public static ManualExecutor create() {
        return new ManualExecutor();
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    public void runAll() {
        Runnable task = tasks.poll();
        while (task != null) {
            task.run();
            task = tasks.poll();
        }
    }
}
