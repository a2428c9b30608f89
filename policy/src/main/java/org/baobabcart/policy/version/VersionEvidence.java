package org.baobabcart.policy.version;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What one router has seen of the versions of services, attempts under way included. Thread-safe. */
public final class VersionEvidence {
    private final Map<VersionOutcomeKey, VersionCounts> counts = new HashMap<>();
    private final Set<OpenAttempt> open = new HashSet<>();
    private long sent;

    private VersionEvidence() {}

    /** Evidence of nothing. */
    public static VersionEvidence create() {
        return new VersionEvidence();
    }

    /** Takes note of an attempt whose first byte leaves now; it is open until one of the methods with it is called. */
    public synchronized OpenAttempt sent(VersionOutcomeKey key, long nowNanos) {
        OpenAttempt attempt = new OpenAttempt(sent++, key, nowNanos);
        open.add(attempt);
        return attempt;
    }

    /** The attempt's answer begins now. */
    public synchronized void began(OpenAttempt attempt, long nowNanos) {
        if (open.remove(attempt)) {
            counts.merge(attempt.key(), VersionCounts.none().withBegun(attempt.millis(nowNanos)), VersionCounts::plus);
        }
    }

    /** The attempt has ended; nothing changes where its answer had begun. */
    public synchronized void ended(OpenAttempt attempt, long nowNanos) {
        if (open.remove(attempt)) {
            counts.merge(
                    attempt.key(), VersionCounts.none().withUnbegun(attempt.millis(nowNanos)), VersionCounts::plus);
        }
    }

    /** The attempt has not run, which says nothing of the version. */
    public synchronized void notRun(OpenAttempt attempt) {
        open.remove(attempt);
    }

    /** Counts an answer. */
    public synchronized void answered(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withAnswer(), VersionCounts::plus);
    }

    /** Counts a failure. */
    public synchronized void failed(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withFailure(), VersionCounts::plus);
    }

    /** Forgets the outcomes of a service, when a comparison begins. */
    public synchronized void forget(String service) {
        counts.keySet().removeIf(key -> key.service().equals(service));
    }

    /** What was seen of a service so far. */
    public synchronized ServiceEvidence of(String service, long nowNanos) {
        Map<VersionWork, VersionCounts> seen = new HashMap<>();
        counts.forEach((key, value) -> {
            if (key.service().equals(service)) {
                seen.put(key.work(), value);
            }
        });
        for (OpenAttempt attempt : open) {
            if (attempt.key().service().equals(service)) {
                VersionCounts waiting = VersionCounts.none().withUnbegun(attempt.millis(nowNanos));
                seen.merge(attempt.key().work(), waiting, VersionCounts::plus);
            }
        }
        return new ServiceEvidence(seen);
    }
}
