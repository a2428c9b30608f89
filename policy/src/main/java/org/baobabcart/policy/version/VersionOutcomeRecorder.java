package org.baobabcart.policy.version;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Records the outcomes of service versions on one router, including pending attempts. Thread-safe. */
public final class VersionOutcomeRecorder {
    private final Map<VersionOutcomeKey, VersionCounts> counts = new HashMap<>();
    private final Set<PendingAttempt> pending = new HashSet<>();
    private long nextNumber;

    private VersionOutcomeRecorder() {}

    /** Creates an empty recorder. */
    public static VersionOutcomeRecorder create() {
        return new VersionOutcomeRecorder();
    }

    /**
     * Records that the first byte of a request is being sent. The attempt is pending until it is passed to another
     * method.
     */
    public synchronized PendingAttempt recordSent(VersionOutcomeKey key, long nowNanos) {
        PendingAttempt attempt = new PendingAttempt(nextNumber++, key, nowNanos);
        pending.add(attempt);
        return attempt;
    }

    /** Records that the answer of an attempt begins now. */
    public synchronized void recordStart(PendingAttempt attempt, long nowNanos) {
        if (pending.remove(attempt)) {
            counts.merge(
                    attempt.key(),
                    VersionCounts.none().withStartTime(attempt.elapsedMillis(nowNanos)),
                    VersionCounts::plus);
        }
    }

    /** Records the end of an attempt. Has no effect if its answer had already begun. */
    public synchronized void recordEnd(PendingAttempt attempt, long nowNanos) {
        if (pending.remove(attempt)) {
            counts.merge(
                    attempt.key(),
                    VersionCounts.none().withCensoredTime(attempt.elapsedMillis(nowNanos)),
                    VersionCounts::plus);
        }
    }

    /** Discards an attempt that did not run: it is no evidence about the version. */
    public synchronized void recordNotRun(PendingAttempt attempt) {
        pending.remove(attempt);
    }

    /** Counts a successful answer. */
    public synchronized void recordAnswer(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withAnswer(), VersionCounts::plus);
    }

    /** Counts a failure. */
    public synchronized void recordFailure(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withFailure(), VersionCounts::plus);
    }

    /** Removes the outcomes of a service, so that a comparison starts without earlier evidence. */
    public synchronized void clear(String service) {
        counts.keySet().removeIf(key -> key.service().equals(service));
    }

    /** Returns the outcomes of a service so far; pending attempts count with their current waiting time. */
    public synchronized ServiceEvidence evidence(String service, long nowNanos) {
        Map<VersionRequestClass, VersionCounts> outcomes = new HashMap<>();
        counts.forEach((key, value) -> {
            if (key.service().equals(service)) {
                outcomes.put(key.versionClass(), value);
            }
        });
        for (PendingAttempt attempt : pending) {
            if (attempt.key().service().equals(service)) {
                VersionCounts waiting = VersionCounts.none().withCensoredTime(attempt.elapsedMillis(nowNanos));
                outcomes.merge(attempt.key().versionClass(), waiting, VersionCounts::plus);
            }
        }
        return new ServiceEvidence(outcomes);
    }
}
