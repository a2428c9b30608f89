package org.baobabcart.router.attempt;

import io.vertx.core.Future;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.SlotRequest;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.view.TrafficView;

/**
 * Supplies the requests of an {@link AttemptLoop} and handles their responses and failures, for one caller request. All methods
 * are called on the event loop of the caller's connection.
 *
 * @param <T> the result type of a consumed response
 */
public interface AttemptHandler<T> extends Attributable {
    /** Returns the time by which the response must be complete. */
    long deadlineNanos();

    /** Returns a future that completes when the result of a running attempt is no longer needed. */
    Future<AttemptException> abandoned();

    /**
     * Returns the request for a slot for the next attempt, according to the current control state.
     *
     * @throws BaobabcartException if no attempt is possible
     */
    SlotRequest slotRequest(RequestAttempts attempts);

    /** Creates the request of the next attempt once its upstream is assigned, {@code waitedNanos} after it was queued. */
    UpstreamRequest request(VirtualMachine upstream, long waitedNanos);

    /**
     * Checks right before the first byte of an attempt whether a change of the control state since queueing forbids sending it.
     *
     * @throws BaobabcartException if the request may no longer be sent
     * @throws AttemptException if the request may not be sent to this upstream
     */
    void check(TrafficView view, VirtualMachine upstream);

    /** Called if an attempt that had passed {@link #check} certainly did not run. */
    default void notRun() {}

    /** Called when the head of a response arrives, {@code nanos} after the attempt was started. */
    default void responseStarted(VirtualMachine upstream, long nanos) {}

    /** Reads a response to its end; fails with an {@link AttemptException} if another attempt may replace it. */
    Future<T> consume(VirtualMachine upstream, UpstreamResponse response);

    /** Called when a response has been read to its end. */
    default void succeeded(VirtualMachine upstream) {}

    /** Called if an attempt failed at its upstream or on the way to it, {@code nanos} after it was started. */
    default void failed(VirtualMachine upstream, FailureKind kind, long nanos) {}

    /** Called when it is known whether an upstream accepts a new connection, after one failed, broke or stalled. */
    default void probed(VirtualMachine upstream, boolean alive) {}

    /**
     * Returns whether the interface allows another attempt, and takes it from its retry budget. Called only if the history of
     * attempts allows one.
     */
    boolean mayRetry(AttemptException failure, RequestAttempts attempts);
}
