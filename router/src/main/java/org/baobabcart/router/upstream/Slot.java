package org.baobabcart.router.upstream;

import org.baobabcart.model.platform.VirtualMachine;

/** The right to send one attempt to an upstream. Thread-safe. */
public interface Slot {
    /** The upstream to send to. */
    VirtualMachine upstream();

    /** Gives the slot back; only the first call counts. */
    void release(AttemptResult result);
}
