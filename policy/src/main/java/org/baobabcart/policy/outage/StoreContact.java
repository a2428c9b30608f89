package org.baobabcart.policy.outage;

import java.time.Duration;

/**
 * When the platform's store was last out of reach, as the answers to all calls of this router tell. Not thread-safe.
 *
 * <p>Failed calls say nothing about the store: connections that go silent, time-outs on a loaded VM and refusals of one router fail while it
 * answers others. A registration lapses after several intervals of silence, so that an outage that lets any lapse is a time without any answer that
 * is at least as long.
 */
public final class StoreContact {
    private final long shortestOutageNanos;
    private long lastAnswerNanos;
    private long outageEndNanos;
    private boolean hadOutage;

    private StoreContact(Duration shortestOutage, long nowNanos) {
        this.shortestOutageNanos = shortestOutage.toNanos();
        this.lastAnswerNanos = nowNanos;
    }

    /**
     * Creates a contact without outages.
     *
     * @param shortestOutage the shortest outage that lets a registration lapse
     */
    public static StoreContact create(Duration shortestOutage, long nowNanos) {
        return new StoreContact(shortestOutage, nowNanos);
    }

    /** Records that the store, or a relay of its news, has answered a call. */
    public void answered(long nowNanos) {
        if (nowNanos - lastAnswerNanos >= shortestOutageNanos) {
            outageEndNanos = nowNanos;
            hadOutage = true;
        }
        lastAnswerNanos = nowNanos;
    }

    /** Returns whether an outage has ended after the given time. */
    public boolean hasOutageEndedSince(long nanos) {
        return hadOutage && outageEndNanos - nanos > 0;
    }

    /** Returns the end of the last outage; meaningful only after one. */
    public long outageEndNanos() {
        return outageEndNanos;
    }
}
