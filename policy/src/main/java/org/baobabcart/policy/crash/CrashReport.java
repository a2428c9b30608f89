package org.baobabcart.policy.crash;

import java.util.List;
import java.util.Map;

/**
 * What one router has to say about recent crashes; each report of a router replaces its earlier ones. Immutable.
 *
 * @param router the name of the router
 * @param sequence increases with each report of one process
 * @param crashes the crashes that it observed, oldest first
 * @param begun for each accused key that it can clear, how often it has cleared it: another number than before is news
 * @param quarantines the quarantines that it concluded, each with its term: how often it has begun
 * @param ended the last term that has ended, by name of the quarantine
 */
public record CrashReport(
        String router,
        long sequence,
        List<CrashObservation> crashes,
        Map<String, Integer> begun,
        Map<Quarantine, Integer> quarantines,
        Map<String, Integer> ended) {
    /** Copies the collections. */
    public CrashReport {
        crashes = List.copyOf(crashes);
        begun = Map.copyOf(begun);
        quarantines = Map.copyOf(quarantines);
        ended = Map.copyOf(ended);
    }

    /** Returns a report without any statement. */
    public static CrashReport empty(String router) {
        return new CrashReport(router, 0, List.of(), Map.of(), Map.of(), Map.of());
    }
}
