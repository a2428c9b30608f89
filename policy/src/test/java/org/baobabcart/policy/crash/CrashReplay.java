package org.baobabcart.policy.crash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Replays traffic of which some requests have a part that crashes engines, through routers that share their evidence with a delay, and
 * counts what the engines see. Times are milliseconds.
 */
final class CrashReplay {
    private static final int ENGINES = 24;
    private static final int DURATION = 30_000;
    private static final int RETURN_DELAY = 3_200;
    private static final int REPORT_DELAY = 60;
    private static final int STABILITY_WINDOW = 3_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_WAIT = 3_000;
    private static final int RECHECK = 50;
    private static final int SOUND_PER_SECOND = 150;
    private static final int FIRST_PARTS = 3;
    private static final int SECOND_PARTS = 200;
    private static final long NANOS = 1_000_000;

    /** How routers treat requests that were at crashed engines. */
    enum Policy {
        /** Each router sends them to other engines, and nobody counts. */
        RETRY_ONLY,
        ATTRIBUTION
    }

    private final Random random;
    private final Policy policy;
    private final int routers;
    private final double crashingPerSecond;
    private final int crashingParts;
    private final Set<Integer> networkFaults;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int[] incarnations = new int[ENGINES];
    private final long[] downUntil = new long[ENGINES];
    private final List<Attempt> unanswered = new ArrayList<>();
    private final Map<Integer, Set<String>> answeredParts = new HashMap<>();
    private final Deque<Report> reports = new ArrayDeque<>();
    private CrashEvidence shared = CrashEvidence.none();
    private long number;
    private long now;
    private long fifthCrash;
    private int requests;

    int crashes;
    int sentLate;
    int soundRefused;
    int soundServed;
    int crashingRefused;

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** A change of the evidence that the other routers apply later. */
    private record Report(long at, int router, UnaryOperator<CrashEvidence> change) {}

    private static final class Attempt {
        private final int router;
        private final RequestFingerprint request;
        private final boolean crashing;
        private int tried;
        private int engine;
        private int incarnation;
        private long waitingSince;

        private Attempt(int router, RequestFingerprint request, boolean crashing) {
            this.router = router;
            this.request = request;
            this.crashing = crashing;
        }
    }

    CrashReplay(
            Policy policy,
            int routers,
            double crashingPerSecond,
            int crashingParts,
            Set<Integer> networkFaults,
            long seed) {
        this.policy = policy;
        this.routers = routers;
        this.crashingPerSecond = crashingPerSecond;
        this.crashingParts = crashingParts;
        this.networkFaults = networkFaults;
        this.random = new Random(seed);
    }

    CrashReplay run() {
        for (int index = 0; index < SOUND_PER_SECOND * DURATION / 1_000; index++) {
            at(random.nextInt(DURATION), () -> arrive(false));
        }
        for (int index = 0; index < crashingPerSecond * DURATION / 1_000; index++) {
            at(2_000 + random.nextInt(DURATION - 2_000), () -> arrive(true));
        }
        networkFaults.forEach(time -> at(time, this::breakConnections));
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, number++, action));
    }

    private void arrive(boolean crashing) {
        int id = requests++;
        String firstPart = "first-" + random.nextInt(FIRST_PARTS);
        List<String> parts = crashing
                ? List.of(firstPart, "parent", "bad-" + random.nextInt(crashingParts))
                : List.of(firstPart, "second-" + random.nextInt(SECOND_PARTS));
        Attempt attempt =
                new Attempt(random.nextInt(routers), new RequestFingerprint("request-" + id, parts), crashing);
        attempt.waitingSince = now;
        consider(attempt);
    }

    private void consider(Attempt attempt) {
        if (policy == Policy.RETRY_ONLY) {
            send(attempt);
            return;
        }
        conclude();
        CrashEvidence evidence = evidenceOf(attempt.router);
        switch (evidence.verdict(attempt.request)) {
            case CLEAR -> send(attempt);
            case QUARANTINED -> refuse(attempt);
            case SUSPECT -> {
                String key = evidence.leadingKey(attempt.request);
                boolean alone = unanswered.stream()
                        .noneMatch(other -> other.router == attempt.router
                                && other.request.keys().contains(key));
                if (alone && SuspectAdmission.mayTry(evidence, attempt.request, "r" + attempt.router, now * NANOS)) {
                    send(attempt);
                } else if (now - attempt.waitingSince < MAX_WAIT) {
                    at(now + RECHECK, () -> consider(attempt));
                } else {
                    refuse(attempt);
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void refuse(Attempt attempt) {
        if (attempt.crashing) {
            crashingRefused++;
        } else {
            soundRefused++;
        }
    }

    /** Returns what a router knows: the reports that have arrived, and its own. */
    private CrashEvidence evidenceOf(int router) {
        while (!reports.isEmpty() && reports.peek().at() + REPORT_DELAY <= now) {
            shared = reports.poll().change().apply(shared);
        }
        CrashEvidence evidence = shared;
        for (Report report : reports) {
            if (report.router() == router) {
                evidence = report.change().apply(evidence);
            }
        }
        return evidence;
    }

    private void conclude() {
        evidenceOf(0);
        List<Quarantine> all = new ArrayList<>(shared.quarantines());
        all.addAll(shared.conclusions(now * NANOS));
        shared = shared.withQuarantines(all);
    }

    private void send(Attempt attempt) {
        List<Integer> live = new ArrayList<>();
        for (int engine = 0; engine < ENGINES; engine++) {
            if (downUntil[engine] <= now) {
                live.add(engine);
            }
        }
        if (live.isEmpty() || attempt.tried == MAX_ATTEMPTS) {
            refuse(attempt);
            return;
        }
        attempt.tried++;
        attempt.engine = live.get(random.nextInt(live.size()));
        attempt.incarnation = incarnations[attempt.engine];
        if (attempt.crashing && crashes >= 5 && now > fifthCrash + STABILITY_WINDOW) {
            sentLate++;
        }
        unanswered.add(attempt);
        at(now + 50 + random.nextInt(350), () -> begin(attempt));
    }

    private void begin(Attempt attempt) {
        if (!unanswered.contains(attempt) || attempt.incarnation != incarnations[attempt.engine]) {
            return;
        }
        if (attempt.crashing) {
            crash(attempt.engine);
            return;
        }
        unanswered.remove(attempt);
        if (attempt.tried == 1) {
            soundServed++;
        }
        answeredParts.computeIfAbsent(attempt.router, router -> new HashSet<>()).addAll(attempt.request.parts());
        Set<String> accused = new HashSet<>(attempt.request.keys());
        accused.retainAll(evidenceOf(attempt.router).accusedKeys());
        if (!accused.isEmpty()) {
            report(attempt.router, evidence -> evidence.withBegun(accused, now * NANOS));
        }
    }

    private void crash(int engine) {
        crashes++;
        if (crashes == 5) {
            fifthCrash = now;
        }
        downUntil[engine] = now + RETURN_DELAY;
        breakAt(engine, CrashSeverity.LOST_UPSTREAM, "e" + engine + "#" + incarnations[engine]++);
    }

    /** Breaks all connections of some routers to some engines, which look lost to these routers only. */
    private void breakConnections() {
        for (int engine = 0; engine < ENGINES / 2; engine++) {
            breakAt(engine, CrashSeverity.LOST_UPSTREAM, "e" + engine + "#" + incarnations[engine]);
        }
    }

    private void breakAt(int engine, CrashSeverity severity, String crash) {
        List<Attempt> broken =
                unanswered.stream().filter(attempt -> attempt.engine == engine).toList();
        unanswered.removeAll(broken);
        for (Attempt attempt : broken) {
            CrashObservation observation = new CrashObservation(crash, severity, List.of(attempt.request));
            long seen = now;
            report(
                    attempt.router,
                    evidence -> evidence.withObservation("r" + attempt.router, observation, seen * NANOS));
        }
        for (Attempt attempt : broken) {
            Set<String> known = new HashSet<>(attempt.request.parts());
            answeredParts.forEach((router, parts) -> {
                Optional<String> first = known.stream().filter(parts::contains).findFirst();
                first.ifPresent(part -> {
                    known.remove(part);
                    report(router, evidence -> evidence.withBegun(Set.of(part), now * NANOS));
                });
            });
            attempt.waitingSince = now;
            at(now + 2, () -> consider(attempt));
        }
    }

    private void report(int router, UnaryOperator<CrashEvidence> change) {
        if (policy == Policy.ATTRIBUTION) {
            reports.add(new Report(now, router, change));
        }
    }
}
