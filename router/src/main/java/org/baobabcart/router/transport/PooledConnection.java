package org.baobabcart.router.transport;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** The state of an open connection in its {@link ConnectionPool}, which guards it by its lock. */
final class PooledConnection {
    private static final AtomicLong NUMBERS = new AtomicLong();

    private final long number = NUMBERS.incrementAndGet();
    private final CarriedIds ids = new CarriedIds();
    private int assigned;
    private int running;
    private boolean retired;

    /** Assigns the connection to a request that must have been accepted. */
    void acquire(Optional<String> id) {
        id.ifPresent(ids::add);
        assigned++;
        running++;
    }

    /** Ends a request on the connection. */
    void release() {
        running--;
    }

    /** Excludes the connection from further requests. */
    void retire() {
        retired = true;
    }

    /** Returns whether the connection was assigned to no request yet. */
    boolean isNew() {
        return assigned == 0;
    }

    /**
     * Returns whether the connection may be assigned to a request. A second response to an earlier request with the same
     * id could not be told from the response to this one.
     */
    boolean accepts(Optional<String> id) {
        return !retired && id.map(ids::accepts).orElse(true);
    }

    boolean isRetired() {
        return retired;
    }

    /** Returns whether a request runs on the connection. */
    boolean isUsed() {
        return running > 0;
    }

    /** Returns the use of the connection by the last request that it was assigned to. */
    ConnectionUse use() {
        return new ConnectionUse(number, Math.max(0, assigned - 1));
    }
}
