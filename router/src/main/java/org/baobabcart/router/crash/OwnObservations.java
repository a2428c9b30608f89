package org.baobabcart.router.crash;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.crash.CrashObservation;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.crash.RequestFingerprint;

/** The crashes that this router has observed recently, as it reports them. Not thread-safe. */
final class OwnObservations {
    private static final int LIMIT = 16;

    private final String router;
    private final Map<String, CrashObservation> byCrash = new LinkedHashMap<>();
    private final Map<String, Long> firstNanos = new HashMap<>();
    private long nextNumber;

    private OwnObservations(String router) {
        this.router = router;
    }

    static OwnObservations create(String router) {
        return new OwnObservations(router);
    }

    /** Adds a request that an upstream had received when it crashed; returns the observation of only this request. */
    CrashObservation add(VirtualMachine upstream, CrashSeverity severity, RequestFingerprint request, long nowNanos) {
        CrashObservation single =
                new CrashObservation(crashId(upstream, severity), severity, List.of()).with(severity, request);
        byCrash.merge(single.crash(), single, (before, ignored) -> before.with(severity, request));
        firstNanos.putIfAbsent(single.crash(), nowNanos);
        if (byCrash.size() > LIMIT) {
            remove(byCrash.keySet().iterator().next());
        }
        return single;
    }

    /** A crash of a known start of an upstream has the same id on all routers. */
    private String crashId(VirtualMachine upstream, CrashSeverity severity) {
        boolean common = severity == CrashSeverity.LOST_UPSTREAM && upstream.incarnation() != 0;
        return upstream.name() + "#" + (common ? upstream.incarnation() : router + "#" + nextNumber++);
    }

    private void remove(String crash) {
        byCrash.remove(crash);
        firstNanos.remove(crash);
    }

    void removeBefore(long nanos) {
        List<String> old = byCrash.keySet().stream()
                .filter(crash -> firstNanos.get(crash) - nanos < 0)
                .toList();
        old.forEach(this::remove);
    }

    boolean isEmpty() {
        return byCrash.isEmpty();
    }

    /** Returns the observations, oldest first. */
    List<CrashObservation> all() {
        return List.copyOf(byCrash.values());
    }
}
