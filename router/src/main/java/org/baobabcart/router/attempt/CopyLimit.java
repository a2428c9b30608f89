package org.baobabcart.router.attempt;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baobabcart.policy.crash.CrashEvidence;
import org.baobabcart.policy.crash.CrashSeverity;

/**
 * Limits how many copies of one request run at once before the first of them is answered, so that copies sent in parallel cannot crash
 * more upstreams than it takes to quarantine the request. Not thread-safe.
 */
final class CopyLimit {
    private static final int MAX_UNANSWERED = CrashEvidence.QUARANTINE_WEIGHT / CrashSeverity.LOST_UPSTREAM.weight();
    private static final int MAX_ANSWERED = 16 * 1024;

    private final Map<String, Integer> unanswered = new HashMap<>();
    private final Map<String, Boolean> answered = new LinkedHashMap<>();

    boolean mayRun(String request) {
        return answered.containsKey(request) || unanswered.getOrDefault(request, 0) < MAX_UNANSWERED;
    }

    void started(String request) {
        unanswered.merge(request, 1, Integer::sum);
    }

    void ended(String request, boolean wasAnswered) {
        unanswered.computeIfPresent(request, (key, count) -> count > 1 ? count - 1 : null);
        if (!wasAnswered) {
            return;
        }
        answered.put(request, true);
        if (answered.size() > MAX_ANSWERED) {
            answered.remove(answered.keySet().iterator().next());
        }
    }
}
