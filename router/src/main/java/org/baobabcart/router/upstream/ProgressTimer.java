package org.baobabcart.router.upstream;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.baobabcart.router.transport.EventLoopTimers;

/**
 * Runs an action once if no progress is made within a time limit. Confined to one event loop.
 *
 * <p>Progress only updates a time stamp, which is checked when the timer fires; otherwise a stream of small chunks
 * would set a timer for each of them.
 */
final class ProgressTimer {

    private final Vertx vertx;
    private final SilentUpstreamDetector.Registration registration;
    private final BooleanSupplier replaceable;
    private final Runnable action;
    private long limitNanos;
    private long lastProgress;
    private boolean suspended;
    private boolean ended;
    private long timer = -1;

    private ProgressTimer(
            Vertx vertx,
            SilentUpstreamDetector.Registration registration,
            BooleanSupplier replaceable,
            Runnable action) {
        this.vertx = vertx;
        this.registration = registration;
        this.replaceable = replaceable;
        this.action = action;
    }

    /**
     * Creates a timer that has not been started.
     *
     * @param registration receives progress and the end of the attempt
     * @param replaceable whether the action should run when the limit has passed; otherwise the timer waits for the
     *     limit once more
     */
    static ProgressTimer create(
            Vertx vertx,
            SilentUpstreamDetector.Registration registration,
            BooleanSupplier replaceable,
            Runnable action) {
        return new ProgressTimer(vertx, registration, replaceable, action);
    }

    /** Starts or restarts the timer with a limit. */
    void start(Duration limit) {
        limitNanos = limit.toNanos();
        lastProgress = System.nanoTime();
        if (timer >= 0) {
            vertx.cancelTimer(timer);
        }
        schedule(limitNanos);
    }

    /** Records progress. */
    void progress() {
        lastProgress = System.nanoTime();
        registration.recordActivity();
    }

    /** Stops counting time until {@link #resume}. */
    void suspend() {
        suspended = true;
    }

    /** Resumes counting from zero. */
    void resume() {
        suspended = false;
        lastProgress = System.nanoTime();
    }

    /** Stops the timer; the action does not run after this. */
    void end() {
        ended = true;
        registration.close();
        if (timer >= 0) {
            vertx.cancelTimer(timer);
        }
    }

    private void schedule(long delayNanos) {
        timer = EventLoopTimers.start(vertx, Duration.ofNanos(delayNanos), this::check);
    }

    private void check() {
        if (ended) {
            return;
        }
        if (suspended) {
            schedule(limitNanos);
            return;
        }
        long remaining = limitNanos - (System.nanoTime() - lastProgress);
        if (remaining > 0) {
            schedule(remaining);
            return;
        }
        if (!replaceable.getAsBoolean()) {
            schedule(limitNanos);
            return;
        }
        ended = true;
        action.run();
    }
}
