package org.baobabcart.policy.version;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What one router has outcomes of the versions of services, attempts under way included. Thread-safe. */
public final class VersionOutcomeRecorder {
    private final Map<VersionOutcomeKey, VersionCounts> counts = new HashMap<>();
    private final Set<PendingAttempt> pending = new HashSet<>();
    private long nextNumber;

    private VersionOutcomeRecorder() {}

    /** Evidence of nothing. */
    public static VersionOutcomeRecorder create() {
        return new VersionOutcomeRecorder();
    }

    /** Takes note of an attempt whose first byte leaves now; it is pending until one of the methods with it is called. */
    public synchronized PendingAttempt recordSent(VersionOutcomeKey key, long nowNanos) {
        PendingAttempt attempt = new PendingAttempt(nextNumber++, key, nowNanos);
        pending.add(attempt);
        return attempt;
    }

    /** The attempt's answer begins now. */
    public synchronized void recordStart(PendingAttempt attempt, long nowNanos) {
        if (pending.remove(attempt)) {
            counts.merge(
                    attempt.key(),
                    VersionCounts.none().withStartTime(attempt.elapsedMillis(nowNanos)),
                    VersionCounts::plus);
        }
    }

    /** The attempt has ended; nothing changes where its answer had begun. */
    public synchronized void recordEnd(PendingAttempt attempt, long nowNanos) {
        if (pending.remove(attempt)) {
            counts.merge(
                    attempt.key(),
                    VersionCounts.none().withCensoredTime(attempt.elapsedMillis(nowNanos)),
                    VersionCounts::plus);
        }
    }

    /** The attempt has not run, which says nothing of the version. */
    public synchronized void recordNotRun(PendingAttempt attempt) {
        pending.remove(attempt);
    }

    /** Counts an answer. */
    public synchronized void recordAnswer(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withAnswer(), VersionCounts::plus);
    }

    /** Counts a failure. */
    public synchronized void recordFailure(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withFailure(), VersionCounts::plus);
    }

    /** Forgets the outcomes of a service, when a comparison begins. */
    public synchronized void clear(String service) {
        counts.keySet().removeIf(key -> key.service().equals(service));
    }

    /** What was outcomes of a service so far. */
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
