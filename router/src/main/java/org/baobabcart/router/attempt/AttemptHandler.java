package org.baobabcart.router.attempt;

import io.vertx.core.Future;
import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.upstream.Work;
import org.baobabcart.router.view.TrafficView;

/**
 * What an interface adds to the attempts of one request. All methods are called on the event loop of the caller's connection.
 *
 * @param <T> what an answer is turned into
 */
public interface AttemptHandler<T> {
    /** When the answer must be whole. */
    long deadlineNanos();

    /** Completes when an attempt that runs is of no use any more. */
    Future<AttemptException> abandoned();

    /** A digest that is the same for each sending of the same work; empty where crashes are not blamed on requests. */
    default Optional<String> fingerprint() {
        return Optional.empty();
    }

    /**
     * What to queue for the next attempt, by the state of control as it is now.
     *
     * @throws BaobabcartException where there is nothing to wait for
     */
    Work work(RequestAttempts soFar);

    /** The request of the next attempt, made when its upstream is known, so many nanoseconds after it was queued. */
    UpstreamRequest request(VirtualMachine upstream, long waitedNanos);

    /**
     * Looks again at what may have changed while the attempt waited, right before its first byte.
     *
     * @throws BaobabcartException where the request may not be sent any more
     * @throws AttemptException where it may not be sent to this upstream
     */
    void check(TrafficView view, VirtualMachine upstream);

    /** An attempt that had passed {@link #check} surely did not run. */
    default void notRun() {}

    /** The head of an answer has arrived so many nanoseconds after the sending. */
    default void answerBegan(VirtualMachine upstream, long nanos) {}

    /** Reads an answer to its end; fails with an {@link AttemptException} where another attempt may replace it. */
    Future<T> consume(VirtualMachine upstream, UpstreamResponse answer);

    /** An answer was read to its end. */
    default void succeeded(VirtualMachine upstream) {}

    /** An attempt failed, for a reason that lies with its upstream or on the way to it, so long after it had its slot. */
    default void failed(VirtualMachine upstream, FailureKind kind, long nanos) {}

    /** Tells whether an upstream whose connections broke or stood still takes a new one. */
    default void judged(VirtualMachine upstream, boolean alive) {}

    /** Whether the limits of the interface allow one more attempt, which the ledger allows; takes it from the budget. */
    boolean mayRetry(AttemptException failure, RequestAttempts soFar);
}
