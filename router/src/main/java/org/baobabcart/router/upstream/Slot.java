package org.baobabcart.router.upstream;

import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;

/** The right to send one attempt to an upstream. Thread-safe. */
public interface Slot {
    /** The upstream to send to. */
    VirtualMachine upstream();

    /**
     * Tells what the head of the answer showed.
     *
     * @param latencyNanos the time from the sending to the head
     * @param load the load that the upstream reported, {@code running/waiting/slots}
     */
    void observe(long latencyNanos, Optional<String> load);

    /** Tells that the work ran to its end in so many nanoseconds. */
    void finished(long nanos);

    /**
     * Gives the slot back; only the first call counts.
     *
     * @param failure how the upstream failed; empty for success and for work that was given up on this side
     */
    void release(Optional<FailureKind> failure);
}
