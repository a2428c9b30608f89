package org.baobabcart.router.gateway;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory for bodies that wait, so that a burst of large ones ends in refusals instead of the process. Thread-safe. */
final class BufferBudget {
    private final long limit;
    private final AtomicLong used = new AtomicLong();

    private BufferBudget(long limit) {
        this.limit = limit;
    }

    static BufferBudget of(long limitBytes) {
        return new BufferBudget(limitBytes);
    }

    /** Takes room for some bytes; false where there is none. */
    boolean tryTake(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    void giveBack(long bytes) {
        used.addAndGet(-bytes);
    }

    long used() {
        return used.get();
    }
}
