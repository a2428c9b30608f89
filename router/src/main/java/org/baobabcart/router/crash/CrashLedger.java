package org.baobabcart.router.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.crash.CrashEvidence;
import org.baobabcart.policy.crash.CrashObservation;
import org.baobabcart.policy.crash.CrashReport;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.crash.CrashVerdict;
import org.baobabcart.policy.crash.Quarantine;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.policy.crash.SuspectAdmission;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * The crashes of upstreams that this router knows of: its own observations, which it reports to other routers, and their reports.
 * Thread-safe; listeners are called without a lock.
 */
public final class CrashLedger {
    /** How often {@link #review} is called. */
    static final Duration REVIEW_PERIOD = Duration.ofMillis(50);

    /** Crashes that are further apart are not attributed to the same cause. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private static final Duration MIN_REVIEW_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_ANSWERED_KEYS = 8 * 1024;
    private static final int MAX_CLEARED_KEYS = 4096;

    private final String router;
    private final LongSupplier nanoClock;
    private final Timeline timeline;
    private final List<Runnable> reportListeners = new CopyOnWriteArrayList<>();
    private final List<Runnable> evidenceListeners = new CopyOnWriteArrayList<>();
    /** Parts of prompts, and requests without parts, to which an answer has begun; least recent first. */
    private final Map<String, Boolean> answeredKeys = new LinkedHashMap<>();
    /** Accused keys that were cleared by an answer from before their first accusation, which is done only once. */
    private final Set<String> clearedByEarlierAnswer = new LinkedHashSet<>();

    private final OwnObservations observations;
    private final Map<String, Integer> begun = new LinkedHashMap<>();
    /** Cleared keys that no router has reported yet. */
    private final Set<String> unreportedClears = new HashSet<>();

    private final QuarantineRegister quarantines;
    private final Map<String, CrashReport> received = new HashMap<>();
    private final Map<String, Long> receivedNanos = new HashMap<>();
    private volatile CrashEvidence evidence = CrashEvidence.none();
    private boolean unreportedCrash;
    private CrashReport lastReport;
    private long sequence;
    private long reviewedNanos;

    /** What this router knows and has not reported. */
    public enum News {
        NONE,
        /** Something that other routers may report as well. */
        COMMON,
        /** Something that only this router can report. */
        OWN
    }

    private CrashLedger(String router, long firstSequence, LongSupplier nanoClock, Timeline timeline) {
        this.router = router;
        this.nanoClock = nanoClock;
        this.timeline = timeline;
        this.observations = OwnObservations.create(router);
        this.quarantines = QuarantineRegister.create(router);
        this.lastReport = CrashReport.empty(router);
        this.sequence = firstSequence;
    }

    /**
     * Creates an empty ledger.
     *
     * @param router the name of this router
     * @param firstSequence greater than the sequence of any report of an earlier life of this router, such as its start time
     * @param nanoClock the steady clock
     */
    public static CrashLedger create(String router, long firstSequence, LongSupplier nanoClock, Timeline timeline) {
        return new CrashLedger(router, firstSequence, nanoClock, timeline);
    }

    /** Adds a listener that is called when there is news to report. */
    public void onReportChanged(Runnable listener) {
        reportListeners.add(listener);
    }

    /** Adds a listener for changes of the verdicts. */
    public void onEvidenceChanged(Runnable listener) {
        evidenceListeners.add(listener);
    }

    /** Returns whether there is nothing to check requests against. */
    public boolean isQuiet() {
        return evidence.isEmpty();
    }

    /** Returns the current evidence. */
    public CrashEvidence evidence() {
        return evidence;
    }

    /** Returns the verdict on a request. */
    public CrashVerdict verdict(RequestFingerprint request) {
        return evidence.verdict(request);
    }

    /** Returns whether this router may now try a suspect request, as far as other routers are concerned. */
    public boolean mayTry(RequestFingerprint request) {
        return SuspectAdmission.mayTry(evidence, request, router, nanoClock.getAsLong());
    }

    /** Returns the time until the next trial of a quarantined request; empty if it is not quarantined. */
    public synchronized Optional<Duration> timeToTrial(RequestFingerprint request) {
        return evidence.quarantineOf(request)
                .flatMap(quarantines::trials)
                .map(trials -> trials.timeToNext(nanoClock.getAsLong()));
    }

    /** Returns what a quarantined request has in common with those that crashed upstreams, and the age of that knowledge; empty if nothing. */
    public synchronized String describe(RequestFingerprint request) {
        return evidence.quarantineOf(request)
                .map(quarantine -> {
                    long age = quarantines
                            .trials(quarantine)
                            .map(trials -> nanoClock.getAsLong() - trials.begunNanos())
                            .orElse(0L);
                    return "in common with requests that crashed upstreams, last reported or tried "
                            + Duration.ofNanos(age).toSeconds() + " s ago: " + quarantine.name();
                })
                .orElse("");
    }

    /** Returns whether a quarantined request may be sent now as a trial, and if so counts the trial. */
    public boolean tryBeginTrial(RequestFingerprint request) {
        List<Quarantine> tried;
        synchronized (this) {
            long now = nanoClock.getAsLong();
            tried = evidence.quarantinesOf(request);
            boolean due = tried.stream()
                    .allMatch(quarantine -> quarantines
                            .trials(quarantine)
                            .filter(trials -> trials.isDue(now))
                            .isPresent());
            if (tried.isEmpty() || !due) {
                return false;
            }
            tried.forEach(quarantine -> quarantines.recordTrial(quarantine, now));
        }
        tried.forEach(quarantine -> recordQuarantine(quarantine, "tried again"));
        return true;
    }

    /** Records that an answer to a request with these keys has begun, while the ledger is quiet. */
    public synchronized void recordAnswered(Collection<String> keys) {
        for (String key : keys) {
            answeredKeys.remove(key);
            answeredKeys.put(key, true);
        }
        removeOldest(answeredKeys.keySet(), MAX_ANSWERED_KEYS);
    }

    /** Records that an answer to a request has begun. */
    public void recordAnswered(RequestFingerprint request) {
        recordAnswered(request.parts().isEmpty() ? request.keys() : request.parts());
        if (isQuiet()) {
            return;
        }
        List<Quarantine> ended = new ArrayList<>();
        boolean news;
        synchronized (this) {
            List<String> keys = request.keys();
            ended.addAll(evidence.quarantinesOf(request));
            ended.forEach(quarantines::end);
            evidence = evidence.withQuarantines(quarantines.inForce());
            Set<String> accused = new HashSet<>(keys);
            accused.retainAll(evidence.accusedKeys());
            accused.forEach(this::countClear);
            news = !accused.isEmpty() || !ended.isEmpty();
            unreportedCrash |= !ended.isEmpty();
            if (news) {
                evidence = evidence.withBegun(keys, nanoClock.getAsLong());
            }
        }
        ended.forEach(quarantine -> recordQuarantine(quarantine, "ended, since an answer has begun"));
        if (news) {
            reportListeners.forEach(Runnable::run);
            evidenceListeners.forEach(Runnable::run);
        }
    }

    private void countClear(String key) {
        begun.merge(key, 1, Integer::sum);
        removeOldest(begun.keySet(), MAX_CLEARED_KEYS);
        unreportedClears.add(key);
    }

    private static void removeOldest(Set<String> keys, int limit) {
        while (keys.size() > limit) {
            keys.remove(keys.iterator().next());
        }
    }

    /** Records that an upstream broke the connection of a request before it began to answer. */
    public void recordCrash(VirtualMachine upstream, CrashSeverity severity, RequestFingerprint request) {
        boolean shared;
        synchronized (this) {
            long now = nanoClock.getAsLong();
            CrashObservation observation = observations.add(upstream, severity, request, now);
            accuse(router, observation, now);
            // A single broken connection is common and costs no report.
            shared = severity == CrashSeverity.LOST_UPSTREAM || evidence.verdict(request) != CrashVerdict.CLEAR;
            unreportedCrash |= shared;
        }
        if (shared) {
            reportListeners.forEach(Runnable::run);
        }
        evidenceListeners.forEach(Runnable::run);
    }

    private void accuse(String reporter, CrashObservation observation, long now) {
        evidence = evidence.withObservation(reporter, observation, now);
        Set<String> cleared = new HashSet<>();
        observation
                .unanswered()
                .forEach(request -> request.keys().stream()
                        .filter(answeredKeys::containsKey)
                        .filter(clearedByEarlierAnswer::add)
                        .forEach(cleared::add));
        removeOldest(clearedByEarlierAnswer, MAX_CLEARED_KEYS);
        if (!cleared.isEmpty()) {
            cleared.forEach(this::countClear);
            evidence = evidence.withBegun(cleared, now);
        }
        observation.unanswered().stream()
                .flatMap(request -> evidence.quarantinesOf(request).stream())
                .distinct()
                .forEach(quarantine -> quarantines.recordTrial(quarantine, now));
    }

    /**
     * Applies the report of another router, or the one that this router left in an earlier life.
     *
     * @param old whether the report may describe crashes of long ago, of which only the quarantines are taken
     */
    public void receive(CrashReport report, boolean old) {
        List<Quarantine> added = new ArrayList<>();
        synchronized (this) {
            CrashReport before = received.getOrDefault(report.router(), CrashReport.empty(report.router()));
            received.put(report.router(), report);
            receivedNanos.put(report.router(), nanoClock.getAsLong());
            if (!old && !report.router().equals(router)) {
                applyChanges(before, report);
            }
            added.addAll(quarantines.receive(report, nanoClock.getAsLong()));
            evidence = evidence.withQuarantines(quarantines.inForce());
            quarantines.retain(evidence.quarantines());
        }
        added.forEach(quarantine -> recordQuarantine(quarantine, "reported by " + report.router()));
        if (news() != News.NONE) {
            reportListeners.forEach(Runnable::run);
        }
        evidenceListeners.forEach(Runnable::run);
    }

    /** Applies a report that a peer passed on, unless it is this router's own or older than one received before. */
    void receiveFromPeer(CrashReport report) {
        boolean news;
        synchronized (this) {
            CrashReport before = received.getOrDefault(report.router(), CrashReport.empty(report.router()));
            news = !report.router().equals(router) && report.sequence() > before.sequence();
        }
        if (news) {
            receive(report, false);
        }
    }

    private void applyChanges(CrashReport before, CrashReport report) {
        long now = nanoClock.getAsLong();
        report.crashes().stream()
                .filter(observation -> !before.crashes().contains(observation))
                .forEach(observation -> accuse(report.router(), observation, now));
        List<String> cleared = report.begun().entrySet().stream()
                .filter(entry -> !entry.getValue().equals(before.begun().get(entry.getKey())))
                .map(Map.Entry::getKey)
                .toList();
        if (!cleared.isEmpty()) {
            cleared.forEach(unreportedClears::remove);
            evidence = evidence.withBegun(cleared, now);
        }
    }

    /** Draws the conclusions that are due, and forgets what is older than the retention. Must be called periodically. */
    public void review() {
        List<Quarantine> added;
        synchronized (this) {
            long now = nanoClock.getAsLong();
            if (isQuiet() || now - reviewedNanos < MIN_REVIEW_INTERVAL.toNanos()) {
                return;
            }
            reviewedNanos = now;
            forgetBefore(now - RETENTION.toNanos());
            added = evidence.conclusions(now);
            quarantines.conclude(added, now);
            evidence = evidence.withQuarantines(quarantines.inForce());
            quarantines.retain(evidence.quarantines());
        }
        if (!added.isEmpty()) {
            added.forEach(quarantine -> recordQuarantine(quarantine, "concluded here"));
            reportListeners.forEach(Runnable::run);
            evidenceListeners.forEach(Runnable::run);
        }
    }

    private void forgetBefore(long nanos) {
        evidence = evidence.withoutBefore(nanos);
        observations.removeBefore(nanos);
        unreportedClears.retainAll(begun.keySet());
        if (evidence.accusedKeys().isEmpty() && observations.isEmpty()) {
            begun.clear();
            clearedByEarlierAnswer.clear();
        }
    }

    /** Returns what there is to report. */
    public synchronized News news() {
        if (unreportedCrash) {
            return News.OWN;
        }
        return unreportedClears.isEmpty() && !quarantines.hasNews() ? News.NONE : News.COMMON;
    }

    /** Returns what this router has to report, which is no news afterwards. */
    public synchronized CrashReport report() {
        unreportedClears.clear();
        unreportedCrash = false;
        lastReport = new CrashReport(
                router, ++sequence, observations.all(), begun, quarantines.toReport(), quarantines.ended());
        return lastReport;
    }

    /** Marks the last report as not delivered. */
    public synchronized void reportAgain() {
        unreportedCrash = true;
    }

    /** Returns this router's report and the recent ones of others, for exchanges with peers. */
    synchronized List<CrashReport> reports() {
        long recent = nanoClock.getAsLong() - RETENTION.toNanos();
        List<CrashReport> all = new ArrayList<>();
        received.forEach((reporter, report) -> {
            if (receivedNanos.get(reporter) - recent >= 0
                    || !report.quarantines().isEmpty()) {
                all.add(report);
            }
        });
        if (news() != News.NONE) {
            report();
        }
        if (lastReport.sequence() > 0) {
            all.add(lastReport);
        }
        return all;
    }

    private void recordQuarantine(Quarantine quarantine, String change) {
        CrashEvidence current = evidence;
        int weight = quarantine.keys().stream().mapToInt(current::weight).max().orElse(0);
        timeline.record(
                EventType.FINGERPRINT_QUARANTINED,
                EventFields.of(EventField.FINGERPRINT, quarantine.name())
                        .with(EventField.CHANGE, change)
                        .with(EventField.WEIGHT, weight));
    }
}
