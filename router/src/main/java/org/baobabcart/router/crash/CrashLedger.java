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
import org.baobabcart.policy.crash.QuarantineTrials;
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
    private static final int MAX_LIFTED = 1024;
    private static final int MAX_OBSERVATIONS = 16;

    private final String router;
    private final LongSupplier nanoClock;
    private final Timeline timeline;
    private final List<Runnable> reportListeners = new CopyOnWriteArrayList<>();
    private final List<Runnable> evidenceListeners = new CopyOnWriteArrayList<>();
    /** Parts of prompts, and requests without parts, to which an answer has begun; least recent first. */
    private final Map<String, Boolean> answeredKeys = new LinkedHashMap<>();
    /** Accused keys that were cleared by an answer from before their first accusation, which is done only once. */
    private final Set<String> clearedByEarlierAnswer = new HashSet<>();

    private final Map<String, CrashObservation> observations = new LinkedHashMap<>();
    private final Map<String, Long> observedNanos = new HashMap<>();
    private final Map<String, Integer> begun = new LinkedHashMap<>();
    private final Set<Quarantine> concluded = new LinkedHashSet<>();
    /** Conclusions and cleared keys that no router has reported yet. */
    private final Set<Quarantine> unreportedConclusions = new LinkedHashSet<>();

    private final Set<String> unreportedClears = new HashSet<>();
    private final Set<String> lifted = new LinkedHashSet<>();
    private final Map<String, CrashReport> received = new HashMap<>();
    private final Map<String, Long> receivedNanos = new HashMap<>();
    private final Map<Quarantine, QuarantineTrials> trials = new HashMap<>();
    private volatile CrashEvidence evidence = CrashEvidence.none();
    private boolean unreportedCrash;
    private CrashReport lastReport;
    private long sequence;
    private long crashNumber;
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
                .map(quarantine -> trialsOf(quarantine).timeToNext(nanoClock.getAsLong()));
    }

    /** Returns what a quarantined request has in common with those that crashed upstreams, and since when; empty if nothing. */
    public synchronized String describe(RequestFingerprint request) {
        return evidence.quarantineOf(request)
                .map(quarantine -> {
                    long age = nanoClock.getAsLong() - trialsOf(quarantine).begunNanos();
                    return "in common with requests that crashed upstreams, for "
                            + Duration.ofNanos(age).toSeconds() + " s: " + quarantine.name();
                })
                .orElse("");
    }

    /** Returns whether a quarantined request may be sent now as a trial, and if so counts the trial. */
    public boolean tryBeginTrial(RequestFingerprint request) {
        Optional<Quarantine> quarantine = evidence.quarantineOf(request);
        synchronized (this) {
            long now = nanoClock.getAsLong();
            boolean due = quarantine.isPresent() && trialsOf(quarantine.get()).isDue(now);
            if (!due) {
                return false;
            }
            trials.put(quarantine.get(), trialsOf(quarantine.get()).withTrial(now));
        }
        recordQuarantine(quarantine.get(), "tried again");
        return true;
    }

    private QuarantineTrials trialsOf(Quarantine quarantine) {
        return trials.computeIfAbsent(
                quarantine,
                key -> QuarantineTrials.begin(
                        key,
                        router,
                        concluded.contains(key) || unreportedConclusions.contains(key),
                        nanoClock.getAsLong()));
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
            ended.forEach(this::lift);
            Set<String> accused = new HashSet<>(keys);
            accused.retainAll(evidence.accusedKeys());
            accused.forEach(this::countClear);
            news = !accused.isEmpty() || !ended.isEmpty();
            unreportedCrash |= !ended.isEmpty();
            if (news) {
                evidence = evidence.withBegun(keys, nanoClock.getAsLong());
            }
        }
        ended.forEach(quarantine -> recordQuarantine(quarantine, "lifted, since an answer has begun"));
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

    private void lift(Quarantine quarantine) {
        lifted.add(quarantine.name());
        removeOldest(lifted, MAX_LIFTED);
        concluded.remove(quarantine);
        unreportedConclusions.remove(quarantine);
        trials.remove(quarantine);
        Set<Quarantine> rest = new LinkedHashSet<>(evidence.quarantines());
        rest.remove(quarantine);
        evidence = evidence.withQuarantines(rest);
    }

    /** Records that an upstream broke the connection of a request before it began to answer. */
    public void recordCrash(VirtualMachine upstream, CrashSeverity severity, RequestFingerprint request) {
        boolean shared;
        synchronized (this) {
            long now = nanoClock.getAsLong();
            CrashObservation observation =
                    new CrashObservation(crashId(upstream, severity), severity, List.of()).with(severity, request);
            CrashObservation merged = observations.containsKey(observation.crash())
                    ? observations.get(observation.crash()).with(severity, request)
                    : observation;
            observations.put(merged.crash(), merged);
            observedNanos.putIfAbsent(merged.crash(), now);
            if (observations.size() > MAX_OBSERVATIONS) {
                String oldest = observations.keySet().iterator().next();
                observations.remove(oldest);
                observedNanos.remove(oldest);
            }
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

    /** A crash of a known start of an upstream has the same id on all routers. */
    private String crashId(VirtualMachine upstream, CrashSeverity severity) {
        boolean common = severity == CrashSeverity.LOST_UPSTREAM && upstream.incarnation() != 0;
        return upstream.name() + "#" + (common ? upstream.incarnation() : router + "#" + crashNumber++);
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
        if (!cleared.isEmpty()) {
            cleared.forEach(this::countClear);
            evidence = evidence.withBegun(cleared, now);
        }
        observation.unanswered().stream()
                .flatMap(request -> evidence.quarantinesOf(request).stream())
                .distinct()
                .forEach(quarantine ->
                        trials.put(quarantine, trialsOf(quarantine).withTrial(now)));
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
            if (!old) {
                applyChanges(before, report);
            }
            lifted.addAll(report.lifted());
            evidence.quarantines().stream()
                    .filter(quarantine -> report.lifted().contains(quarantine.name()))
                    .toList()
                    .forEach(this::lift);
            Set<Quarantine> all = new LinkedHashSet<>(evidence.quarantines());
            report.quarantines().stream()
                    .filter(quarantine -> !lifted.contains(quarantine.name()))
                    .filter(all::add)
                    .forEach(added::add);
            evidence = evidence.withQuarantines(all);
            unreportedConclusions.removeAll(report.quarantines());
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
            added = evidence.conclusions(now).stream()
                    .filter(quarantine -> !lifted.contains(quarantine.name()))
                    .toList();
            unreportedConclusions.addAll(added);
            Set<Quarantine> all = new LinkedHashSet<>(evidence.quarantines());
            all.addAll(added);
            evidence = evidence.withQuarantines(all);
        }
        if (!added.isEmpty()) {
            added.forEach(quarantine -> recordQuarantine(quarantine, "concluded here"));
            reportListeners.forEach(Runnable::run);
            evidenceListeners.forEach(Runnable::run);
        }
    }

    private void forgetBefore(long nanos) {
        evidence = evidence.withoutBefore(nanos);
        observedNanos.entrySet().removeIf(entry -> {
            boolean old = entry.getValue() - nanos < 0;
            if (old) {
                observations.remove(entry.getKey());
            }
            return old;
        });
        concluded.retainAll(evidence.quarantines());
        trials.keySet().retainAll(evidence.quarantines());
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
        return unreportedClears.isEmpty() && unreportedConclusions.isEmpty() ? News.NONE : News.COMMON;
    }

    /** Returns what this router has to report, which is no news afterwards. */
    public synchronized CrashReport report() {
        concluded.addAll(unreportedConclusions);
        unreportedConclusions.clear();
        unreportedClears.clear();
        unreportedCrash = false;
        lastReport = new CrashReport(
                router, ++sequence, List.copyOf(observations.values()), begun, List.copyOf(concluded), lifted);
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
