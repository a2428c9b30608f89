package org.baobabcart.router.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks on a single thread, the control thread, in the order of their submission.
 *
 * <p>Thread-safe. An exception thrown by a task is logged and does not stop the loop; tasks submitted after
 * {@link #close} are dropped.
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

    /** Creates a loop whose thread has the given name and is started with the first task. */
    public static ControlLoop create(String name) {
        return new ControlLoop(name);
    }

    /** Stops accepting tasks; submitted tasks still run, delayed and periodic ones are cancelled. */
    @Override
    public void close() {
        executor.shutdown();
    }

    /** Submits a task to the control thread. */
    @Override
    public void execute(Runnable task) {
        executor.execute(loggingFailures(task));
    }

    /** Returns whether the current thread is the control thread. */
    public boolean isCurrent() {
        return Thread.currentThread() == thread;
    }

    /**
     * Checks that control state is accessed on the control thread only.
     *
     * @throws IllegalStateException if the current thread is not the control thread
     */
    public void assertCurrent() {
        if (!isCurrent()) {
            throw new IllegalStateException("Control state was accessed from " + Thread.currentThread());
        }
    }

    Future<?> scheduleEvery(Duration period, Runnable task) {
        long nanos = period.toNanos();
        return executor.scheduleWithFixedDelay(loggingFailures(task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    Future<?> scheduleAfter(Duration delay, Runnable task) {
        return executor.schedule(loggingFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private Thread newThread(String name, Runnable task) {
        Thread controlThread = new Thread(task, name);
        controlThread.setDaemon(true);
        thread = controlThread;
        return controlThread;
    }

    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | StackOverflowError exception) {
                LOGGER.atSevere().withCause(exception).log("event=control_task_failed");
            }
        };
    }
}
