package org.baobabcart.router.upstream;

import java.util.Optional;
import java.util.OptionalLong;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;

/** Permission to send one attempt to an upstream. Thread-safe. */
public interface Slot {
    /** Returns the upstream to send to. */
    VirtualMachine upstream();

    /** Returns whether the slot was granted within a rate limit of the upstream. */
    boolean isRateLimited();

    /** Returns when the slot was granted within the budget of an upstream that was cold; empty if the upstream was warm. */
    OptionalLong coldGrantNanos();

    /** Records that a new connection to the upstream was established for the attempt. */
    void connected();

    /**
     * Records the head of the response.
     *
     * @param latencyNanos the time from sending the request to the head of the response
     * @param status the status of the response
     * @param load the load reported by the upstream, as {@code running/waiting/slots}
     */
    void responseStarted(long latencyNanos, int status, Optional<String> load);

    /** Records the service time of a completed request. */
    void responseCompleted(long nanos);

    /**
     * Releases the slot; only the first call has an effect.
     *
     * @param failure how the upstream failed; empty for success and for requests that were cancelled by the router
     */
    void release(Optional<FailureKind> failure);
}
