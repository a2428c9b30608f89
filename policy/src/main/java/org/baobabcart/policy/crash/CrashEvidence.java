package org.baobabcart.policy.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The crashes of upstreams that all routers have observed recently, and which requests they accuse. Immutable and thread-safe.
 *
 * <p>A crash accuses the requests that the upstream had received and whose answer had not begun, and each part of their prompts. An
 * answer that begins clears the keys of its request of all earlier crashes. The weights of the crashes since then add up per key.
 * Crashes that follow each other closely count once for a part, since a part in wide use is at many upstreams that stop together; a
 * single request is never at two upstreams at once, so all crashes under it count.
 *
 * <p>A crash is explained by the keys with the greatest weight that all of its most accused requests have in common. If that weight
 * reaches {@link #QUARANTINE_WEIGHT}, requests with all of these keys are quarantined. Sound requests that were at the same upstreams
 * as often make the explanation ambiguous, and nothing is concluded until one of them begins or another crash tells them apart.
 */
public final class CrashEvidence {
    /** Two lost upstreams. */
    public static final int QUARANTINE_WEIGHT = 2 * CrashSeverity.LOST_UPSTREAM.weight();

    private static final int SUSPECT_WEIGHT = CrashSeverity.LOST_UPSTREAM.weight();
    private static final long GROUP_NANOS = Duration.ofMillis(200).toNanos();
    /** The time in which the reports of all routers on a crash arrive. */
    private static final long SETTLE_NANOS = Duration.ofMillis(100).toNanos();

    private static final int MAX_CRASHES = 64;
    private static final int MAX_CLEARED = 4096;
    private static final int MAX_QUARANTINES = 1024;
    private static final CrashEvidence NONE = new CrashEvidence(Map.of(), Map.of(), Map.of());

    private final Map<String, Crash> crashes;
    /** When each key was last cleared by an answer. */
    private final Map<String, Long> cleared;
    /** The quarantines as concluded, by which routers refer to them, with those narrowed by later answers, which are applied. */
    private final Map<Quarantine, Quarantine> quarantines;

    private final Map<String, Integer> weights;

    /** A crash with the accused requests and, for each, the routers that had sent it. */
    private record Crash(
            String id, CrashSeverity severity, long nanos, Map<RequestFingerprint, Set<String>> requests) {}

    private CrashEvidence(
            Map<String, Crash> crashes, Map<String, Long> cleared, Map<Quarantine, Quarantine> quarantines) {
        this.crashes = crashes;
        this.cleared = cleared;
        this.quarantines = quarantines;
        this.weights = computeWeights();
    }

    /** Returns the evidence before any crash. */
    public static CrashEvidence none() {
        return NONE;
    }

    /** Returns whether no request is accused or quarantined. */
    public boolean isEmpty() {
        return crashes.isEmpty() && quarantines.isEmpty();
    }

    /** Returns this evidence and one observation, which arrived at the given time. */
    public CrashEvidence withObservation(String router, CrashObservation observation, long nowNanos) {
        Crash before = crashes.get(observation.crash());
        Map<RequestFingerprint, Set<String>> requests =
                new LinkedHashMap<>(before == null ? Map.of() : before.requests());
        for (RequestFingerprint request : observation.unanswered()) {
            Set<String> routers = new TreeSet<>(requests.getOrDefault(request, Set.of()));
            routers.add(router);
            requests.put(request, Collections.unmodifiableSet(routers));
        }
        boolean stronger = before == null || observation.severity().compareTo(before.severity()) > 0;
        Crash after = new Crash(
                observation.crash(),
                stronger ? observation.severity() : before.severity(),
                before == null ? nowNanos : before.nanos(),
                Collections.unmodifiableMap(requests));
        if (after.equals(before)) {
            return this;
        }
        Map<String, Crash> changed = new LinkedHashMap<>(crashes);
        changed.put(after.id(), after);
        removeOldest(changed, MAX_CRASHES);
        return new CrashEvidence(changed, cleared, quarantines);
    }

    /** Returns this evidence after an answer to a request with these keys has begun. */
    public CrashEvidence withBegun(Collection<String> keys, long nowNanos) {
        Map<String, Long> changed = new LinkedHashMap<>(cleared);
        keys.forEach(key -> {
            changed.remove(key);
            changed.put(key, nowNanos);
        });
        removeOldest(changed, MAX_CLEARED);
        Map<Quarantine, Quarantine> narrowed = new LinkedHashMap<>();
        quarantines.forEach((original, current) -> {
            // A request with all keys would not have been answered, so the rest of the keys explain the crashes.
            Set<String> rest = new HashSet<>(current.keys());
            rest.removeAll(keys);
            narrowed.put(original, rest.isEmpty() ? current : new Quarantine(rest));
        });
        return new CrashEvidence(crashes, changed, narrowed);
    }

    /** Returns this evidence with exactly these quarantines; keys of known ones that were cleared stay cleared. */
    public CrashEvidence withQuarantines(Collection<Quarantine> all) {
        Map<Quarantine, Quarantine> changed = new LinkedHashMap<>();
        all.forEach(quarantine -> changed.put(quarantine, quarantines.getOrDefault(quarantine, quarantine)));
        removeOldest(changed, MAX_QUARANTINES);
        return changed.equals(quarantines) ? this : new CrashEvidence(crashes, cleared, changed);
    }

    /** Returns this evidence without crashes that were reported before the given time, and without answers that began before it. */
    public CrashEvidence withoutBefore(long nanos) {
        Map<String, Crash> recent = new LinkedHashMap<>(crashes);
        recent.values().removeIf(crash -> crash.nanos() - nanos < 0);
        Map<String, Long> recentlyCleared = new LinkedHashMap<>(cleared);
        recentlyCleared.values().removeIf(begun -> begun - nanos < 0);
        return recent.size() == crashes.size() && recentlyCleared.size() == cleared.size()
                ? this
                : new CrashEvidence(recent, recentlyCleared, quarantines);
    }

    private static void removeOldest(Map<?, ?> map, int limit) {
        while (map.size() > limit) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** Returns the verdict on a request. */
    public CrashVerdict verdict(RequestFingerprint request) {
        if (isEmpty()) {
            return CrashVerdict.CLEAR;
        }
        List<String> keys = request.keys();
        if (quarantineOf(request).isPresent()) {
            return CrashVerdict.QUARANTINED;
        }
        boolean suspect = keys.stream().anyMatch(key -> weight(key) >= SUSPECT_WEIGHT);
        return suspect ? CrashVerdict.SUSPECT : CrashVerdict.CLEAR;
    }

    /** Returns the quarantines that cover a request. */
    public List<Quarantine> quarantinesOf(RequestFingerprint request) {
        List<String> keys = request.keys();
        return quarantines.entrySet().stream()
                .filter(entry -> entry.getValue().covers(keys))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a quarantine that covers a request. */
    public Optional<Quarantine> quarantineOf(RequestFingerprint request) {
        return quarantinesOf(request).stream().findFirst();
    }

    /** Returns whether a conclusion on a request may follow as soon as all reports on its last crash have arrived. */
    public boolean isSettling(RequestFingerprint request, long nowNanos) {
        return request.keys().stream()
                .filter(key -> weight(key) >= QUARANTINE_WEIGHT)
                .anyMatch(key -> isSettling(key, nowNanos));
    }

    private boolean isSettling(String key, long nowNanos) {
        return lastAccused(key)
                .filter(accused -> nowNanos - accused < SETTLE_NANOS)
                .isPresent();
    }

    /** Returns the quarantines in force, with the keys by which they were first concluded. */
    public Set<Quarantine> quarantines() {
        return quarantines.keySet();
    }

    /** Returns the most accused key of a request; the first of them if several are accused equally. */
    public String leadingKey(RequestFingerprint request) {
        return request.keys().stream()
                .reduce((first, second) -> weight(second) > weight(first) ? second : first)
                .orElseThrow();
    }

    /** Returns the weight of the crashes that accuse a key since an answer with it has last begun. */
    public int weight(String key) {
        return weights.getOrDefault(key, 0);
    }

    /** Returns the accused keys, whether suspect or not. */
    public Set<String> accusedKeys() {
        return weights.keySet();
    }

    /** Returns the time of the latest crash that accuses a key. */
    public Optional<Long> lastAccused(String key) {
        return crashes.values().stream()
                .filter(crash -> accuses(crash, key))
                .map(Crash::nanos)
                .reduce((first, second) -> second - first > 0 ? second : first);
    }

    /** Returns the routers that had sent the accused requests with a key. */
    public Set<String> reporters(String key) {
        Set<String> routers = new TreeSet<>();
        crashes.values()
                .forEach(crash -> crash.requests().forEach((request, senders) -> {
                    if (request.keys().contains(key)) {
                        routers.addAll(senders);
                    }
                }));
        return routers;
    }

    /** Returns the quarantines that follow from the crashes and are not in force yet. */
    public List<Quarantine> conclusions(long nowNanos) {
        List<Quarantine> conclusions = new ArrayList<>();
        for (Crash crash : crashes.values()) {
            explanation(crash)
                    .filter(keys -> keys.stream().noneMatch(key -> isSettling(key, nowNanos)))
                    .map(Quarantine::new)
                    .filter(quarantine ->
                            quarantines.values().stream().noneMatch(known -> known.covers(quarantine.keys())))
                    .filter(quarantine -> !conclusions.contains(quarantine))
                    .ifPresent(conclusions::add);
        }
        return conclusions;
    }

    /** Returns the keys that explain a crash, if their weight suffices and they are unambiguous. */
    private Optional<Set<String>> explanation(Crash crash) {
        int greatest = QUARANTINE_WEIGHT;
        Set<String> common = null;
        for (RequestFingerprint request : crash.requests().keySet()) {
            if (isCleared(crash, request.request())) {
                continue;
            }
            int weight = request.keys().stream().mapToInt(this::weight).max().orElse(0);
            if (weight < greatest) {
                continue;
            }
            Set<String> accused = new HashSet<>(request.keys());
            accused.removeIf(key -> weight(key) < weight);
            if (weight > greatest || common == null) {
                common = accused;
            } else {
                common.retainAll(accused);
            }
            greatest = weight;
        }
        return Optional.ofNullable(common).filter(keys -> !keys.isEmpty());
    }

    private boolean isCleared(Crash crash, String key) {
        Long begun = cleared.get(key);
        return begun != null && begun - crash.nanos() >= 0;
    }

    private boolean accuses(Crash crash, String key) {
        return !isCleared(crash, key)
                && crash.requests().keySet().stream()
                        .anyMatch(request -> request.keys().contains(key));
    }

    private Map<String, Integer> computeWeights() {
        Map<String, Integer> byKey = new HashMap<>();
        Map<String, Long> lastGroup = new HashMap<>();
        Map<RequestFingerprint, Map<String, Integer>> byRequest = new HashMap<>();
        for (Crash crash : crashes.values()) {
            int weight = crash.severity().weight();
            Set<String> counted = new HashSet<>();
            for (RequestFingerprint request : crash.requests().keySet()) {
                Map<String, Integer> ofRequest = byRequest.computeIfAbsent(request, key -> new HashMap<>());
                for (String key : request.keys()) {
                    if (isCleared(crash, key)) {
                        continue;
                    }
                    ofRequest.merge(key, weight, Integer::sum);
                    Long group = lastGroup.get(key);
                    if (counted.add(key) && (group == null || crash.nanos() - group >= GROUP_NANOS)) {
                        lastGroup.put(key, crash.nanos());
                        byKey.merge(key, weight, Integer::sum);
                    }
                }
            }
        }
        byRequest
                .values()
                .forEach(weightsOfRequest ->
                        weightsOfRequest.forEach((key, weight) -> byKey.merge(key, weight, Math::max)));
        return byKey;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CrashEvidence that
                && crashes.equals(that.crashes)
                && cleared.equals(that.cleared)
                && quarantines.equals(that.quarantines);
    }

    @Override
    public int hashCode() {
        return crashes.hashCode();
    }
}
