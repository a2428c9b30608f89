package org.baobabcart.router.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.policy.crash.CrashReport;
import org.baobabcart.policy.crash.Quarantine;
import org.baobabcart.policy.crash.QuarantineTrials;

/**
 * The quarantines that a router knows of: those in force, those that it reports, and how often each has ended. Not thread-safe.
 *
 * <p>A quarantine that begins again has a greater term than before, so that reports of its earlier end, which may arrive late, do not end
 * it.
 */
final class QuarantineRegister {
    private static final int MAX_ENDED = 1024;

    private final String router;
    private final Map<Quarantine, Integer> inForce = new LinkedHashMap<>();
    /** The quarantines that this router reports, since it concluded them. */
    private final Set<Quarantine> own = new LinkedHashSet<>();
    /** Conclusions that no router has reported yet. */
    private final Set<Quarantine> unreported = new LinkedHashSet<>();
    /** The last term that has ended, by name. */
    private final Map<String, Integer> ended = new LinkedHashMap<>();

    private final Map<Quarantine, QuarantineTrials> trials = new HashMap<>();

    private QuarantineRegister(String router) {
        this.router = router;
    }

    static QuarantineRegister create(String router) {
        return new QuarantineRegister(router);
    }

    /** Returns the quarantines in force. */
    Set<Quarantine> inForce() {
        return inForce.keySet();
    }

    /** Adds conclusions of this router. */
    void conclude(Collection<Quarantine> conclusions, long nowNanos) {
        for (Quarantine quarantine : conclusions) {
            inForce.put(quarantine, ended.getOrDefault(quarantine.name(), 0) + 1);
            unreported.add(quarantine);
            trials.put(quarantine, QuarantineTrials.begin(quarantine, router, true, nowNanos));
        }
    }

    /** Ends a quarantine. */
    void end(Quarantine quarantine) {
        endTerm(quarantine.name(), inForce.getOrDefault(quarantine, 0));
        remove(quarantine);
    }

    /** Applies the quarantines and ends of a report; returns the quarantines that were not in force before. */
    List<Quarantine> receive(CrashReport report, long nowNanos) {
        report.ended().forEach(this::endTerm);
        inForce.entrySet().stream()
                .filter(entry -> hasEnded(entry.getKey(), entry.getValue()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::remove);
        List<Quarantine> added = new ArrayList<>();
        report.quarantines().forEach((quarantine, term) -> {
            if (hasEnded(quarantine, term)) {
                return;
            }
            if (report.router().equals(router)) {
                // This router's next report replaces the one of its earlier life.
                own.add(quarantine);
            }
            if (inForce.merge(quarantine, term, Math::max).equals(term) && !trials.containsKey(quarantine)) {
                added.add(quarantine);
                trials.put(quarantine, QuarantineTrials.begin(quarantine, router, false, nowNanos));
            }
        });
        unreported.removeAll(report.quarantines().keySet());
        return added;
    }

    private boolean hasEnded(Quarantine quarantine, int term) {
        return term <= ended.getOrDefault(quarantine.name(), 0);
    }

    private void endTerm(String name, int term) {
        int last = Math.max(term, ended.getOrDefault(name, 0));
        ended.remove(name);
        ended.put(name, last);
        while (ended.size() > MAX_ENDED) {
            ended.remove(ended.keySet().iterator().next());
        }
    }

    private void remove(Quarantine quarantine) {
        inForce.remove(quarantine);
        own.remove(quarantine);
        unreported.remove(quarantine);
        trials.remove(quarantine);
    }

    /** Removes what is not among the given quarantines, because there were too many. */
    void retain(Set<Quarantine> kept) {
        List<Quarantine> dropped = inForce.keySet().stream()
                .filter(quarantine -> !kept.contains(quarantine))
                .toList();
        dropped.forEach(this::remove);
    }

    /** Returns when a quarantine in force is tried again. */
    Optional<QuarantineTrials> trials(Quarantine quarantine) {
        return Optional.ofNullable(trials.get(quarantine));
    }

    /** Records that a request was sent as a trial, or that one has crashed an upstream. */
    void recordTrial(Quarantine quarantine, long nowNanos) {
        trials.computeIfPresent(quarantine, (key, before) -> before.withTrial(nowNanos));
    }

    boolean hasNews() {
        return !unreported.isEmpty();
    }

    /** Returns the quarantines to report, with their terms; conclusions are reported from now on. */
    Map<Quarantine, Integer> toReport() {
        own.addAll(unreported);
        unreported.clear();
        Map<Quarantine, Integer> reported = new LinkedHashMap<>();
        own.forEach(quarantine -> reported.put(quarantine, inForce.get(quarantine)));
        return reported;
    }

    /** Returns the last term that has ended, by name. */
    Map<String, Integer> ended() {
        return ended;
    }
}
