package org.baobabcart.router.attempt;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.policy.crash.CrashCounts;
import org.baobabcart.router.view.TrafficFeedback;
import org.baobabcart.router.view.TrafficView;

/**
 * Limits the upstream crashes that one request can cause through this router, however often and however many times in parallel
 * its caller sends it. Thread-safe.
 *
 * <p>Requests are identified by fingerprint. A request to which no upstream has started to respond yet runs only as many times in
 * parallel as the limit still allows crashes. A request that was running when an upstream crashed is a suspect. Only one suspect
 * runs at a time until its first byte, so that the next crash is attributed to a single request rather than to all requests
 * that shared the upstream. The counts of this router take effect immediately; those of the whole fleet arrive with the view.
 */
public final class CrashGuard {
    private static final String THIS_ROUTER = "";
    private static final int KNOWN_SAFE_LIMIT = 16 * 1024;

    private final Vertx vertx;
    private final TrafficFeedback feedback;
    private final Map<String, Boolean> knownSafe = new LinkedHashMap<>();
    private final Map<String, Integer> awaitingResponse = new HashMap<>();
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private CrashCounts counts = CrashCounts.empty();
    private boolean suspectRunning;

    /** Permission to run one attempt. */
    public interface Permit {
        /** Must be called when the upstream starts to respond. */
        void responseStarted();

        /** Must be called when the attempt has ended. */
        void attemptEnded();
    }

    private record Waiter(String fingerprint, Context context, Promise<Permit> promise) {}

    private CrashGuard(Vertx vertx, TrafficFeedback feedback) {
        this.vertx = vertx;
        this.feedback = feedback;
    }

    /**
     * Creates a guard without counted crashes.
     *
     * @param feedback reports crashes to the control thread
     */
    public static CrashGuard create(Vertx vertx, TrafficFeedback feedback) {
        return new CrashGuard(vertx, feedback);
    }

    /** Returns a permit for work that is not limited. */
    public static Permit unguarded() {
        return new Permit() {
            @Override
            public void responseStarted() {}

            @Override
            public void attemptEnded() {}
        };
    }

    /** Acquires a permit to run an attempt of the request; completes on the calling event loop. */
    public Future<Permit> acquirePermit(String fingerprint) {
        Waiter waiter = new Waiter(fingerprint, vertx.getOrCreateContext(), Promise.promise());
        synchronized (this) {
            if (knownSafe.containsKey(fingerprint) || mayRun(fingerprint)) {
                return Future.succeededFuture(begin(fingerprint));
            }
            waiting.add(waiter);
        }
        return waiter.promise.future();
    }

    /** Counts a crash of an upstream that was running the request. */
    public void crashed(String upstream, String fingerprint, int weight) {
        synchronized (this) {
            counts = counts.withCrash(fingerprint, THIS_ROUTER, weight);
            knownSafe.remove(fingerprint);
        }
        for (int unit = 0; unit < weight; unit++) {
            feedback.crashed(upstream, fingerprint);
        }
    }

    /** Returns whether the request has crashed upstreams so often that it is not sent to any of them any more. */
    public synchronized boolean isQuarantined(TrafficView view, String fingerprint) {
        return view.quarantined().contains(fingerprint)
                || counts.total(fingerprint) >= CrashCounts.QUARANTINE_THRESHOLD;
    }

    private boolean mayRun(String fingerprint) {
        int crashes = counts.total(fingerprint);
        if (crashes >= CrashCounts.QUARANTINE_THRESHOLD) {
            return true;
        }
        int running = awaitingResponse.getOrDefault(fingerprint, 0);
        boolean withinBound =
                running == 0 || crashes + CrashCounts.LOST_UPSTREAM * (running + 1) <= CrashCounts.QUARANTINE_THRESHOLD;
        return withinBound && (crashes == 0 || !suspectRunning);
    }

    private Permit begin(String fingerprint) {
        int crashes = counts.total(fingerprint);
        boolean counted = !knownSafe.containsKey(fingerprint) && crashes < CrashCounts.QUARANTINE_THRESHOLD;
        boolean suspect = counted && crashes > 0;
        if (counted) {
            awaitingResponse.merge(fingerprint, 1, Integer::sum);
        }
        suspectRunning |= suspect;
        return new CountedPermit(fingerprint, counted, suspect);
    }

    private void release(CountedPermit permit, boolean responseStarted) {
        List<Runnable> actions;
        synchronized (this) {
            if (!permit.open) {
                return;
            }
            permit.open = false;
            if (permit.counted) {
                awaitingResponse.computeIfPresent(permit.fingerprint, (name, count) -> count > 1 ? count - 1 : null);
            }
            if (permit.suspect) {
                suspectRunning = false;
            }
            if (responseStarted && counts.total(permit.fingerprint) == 0) {
                markSafe(permit.fingerprint);
            }
            actions = admitWaiters();
        }
        actions.forEach(Runnable::run);
    }

    private void markSafe(String fingerprint) {
        knownSafe.put(fingerprint, true);
        if (knownSafe.size() > KNOWN_SAFE_LIMIT) {
            knownSafe.remove(knownSafe.keySet().iterator().next());
        }
    }

    private List<Runnable> admitWaiters() {
        List<Runnable> actions = new ArrayList<>();
        waiting.removeIf(waiter -> {
            boolean allowed = knownSafe.containsKey(waiter.fingerprint) || mayRun(waiter.fingerprint);
            if (allowed) {
                Permit permit = begin(waiter.fingerprint);
                actions.add(() -> waiter.context.runOnContext(ignored -> waiter.promise.complete(permit)));
            }
            return allowed;
        });
        return actions;
    }

    private final class CountedPermit implements Permit {
        private final String fingerprint;
        private final boolean counted;
        private final boolean suspect;
        private boolean open = true;

        private CountedPermit(String fingerprint, boolean counted, boolean suspect) {
            this.fingerprint = fingerprint;
            this.counted = counted;
            this.suspect = suspect;
        }

        @Override
        public void responseStarted() {
            release(this, true);
        }

        @Override
        public void attemptEnded() {
            release(this, false);
        }
    }
}
