package org.baobabcart.router.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory used by buffered request bodies, so that a burst of large bodies leads to rejected requests rather than
 * an out-of-memory error. Thread-safe.
 */
final class BufferBudget {
    private final long limitBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    private BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    static BufferBudget of(long limitBytes) {
        return new BufferBudget(limitBytes);
    }

    /** Reserves a number of bytes; returns false if the limit would be exceeded. */
    boolean tryReserve(long bytes) {
        if (usedBytes.addAndGet(bytes) <= limitBytes) {
            return true;
        }
        usedBytes.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }

    long usedBytes() {
        return usedBytes.get();
    }
}
