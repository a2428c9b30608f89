package org.baobabcart.policy.claim;

/**
 * A journal as it was read or written. Immutable.
 *
 * @param journal the content
 * @param resourceVersion the platform's version, empty if the object does not exist
 * @param fetchedNanos the owner's monotonic time at which the platform's answer had arrived
 */
public record CachedJournal(ClaimJournal journal, String resourceVersion, long fetchedNanos) {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    /** The content, older by the time since it was obtained. */
    public ClaimJournal agedTo(long nowNanos) {
        return journal.aged((nowNanos - fetchedNanos) / NANOS_PER_MILLISECOND);
    }
}
