package org.baobabcart.router.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The control thread: runs tasks one after the other in the order of their submission.
 *
 * <p>Thread-safe. A task that throws is logged and does not end the loop; tasks submitted after {@link #close} are
 * dropped.
 */
public final class ControlLoop implements Executor, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;
    private volatile Thread thread;

    private ControlLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> newThread(name, task));
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setContinueExistingPeriodicTasksAfterShutdownPolicy(false);
        executor.setRejectedExecutionHandler((task, pool) -> {});
    }

    /** A loop whose thread has this name and starts with the first task. */
    public static ControlLoop create(String name) {
        return new ControlLoop(name);
    }

    /** Stops taking tasks; those already submitted still run. */
    @Override
    public void close() {
        executor.shutdown();
    }

    /** Runs a task on the control thread soon. */
    @Override
    public void execute(Runnable task) {
        executor.execute(guarded(task));
    }

    /** Whether the caller is the control thread. */
    public boolean isCurrent() {
        return Thread.currentThread() == thread;
    }

    /**
     * Checks the confinement of control state.
     *
     * @throws IllegalStateException on any other thread than the control thread
     */
    public void assertCurrent() {
        if (!isCurrent()) {
            throw new IllegalStateException("Control state was touched by " + Thread.currentThread());
        }
    }

    Future<?> scheduleEvery(Duration period, Runnable task) {
        long nanos = period.toNanos();
        return executor.scheduleWithFixedDelay(guarded(task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    Future<?> scheduleAfter(Duration delay, Runnable task) {
        return executor.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private Thread newThread(String name, Runnable task) {
        Thread created = new Thread(task, name);
        created.setDaemon(true);
        thread = created;
        return created;
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                LOGGER.atSevere().withCause(exception).log("event=control_task_failed");
            }
        };
    }
}
