package org.baobabcart.router.testing;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Keeps tasks until {@link #runAll} runs them one after the other, as a control thread would. */
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
