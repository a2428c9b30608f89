package org.baobabcart.policy.claim;

/**
 * A local copy of a journal, as last read or written. Immutable.
 *
 * @param journal the content
 * @param resourceVersion the platform's version, empty if the object does not exist
 * @param fetchedNanos the owner's monotonic time at which the platform's answer was received
 */
public record CachedJournal(ClaimJournal journal, String resourceVersion, long fetchedNanos) {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    /** Returns the content, aged by the time since it was received. */
    public ClaimJournal agedTo(long nowNanos) {
        return journal.aged((nowNanos - fetchedNanos) / NANOS_PER_MILLISECOND);
    }
}
