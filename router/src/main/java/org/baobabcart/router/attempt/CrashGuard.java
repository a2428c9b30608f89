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
 * Bounds the crashes that one request can cause through this router, however often and however many times at once its
 * caller sends it. Thread-safe.
 *
 * <p>Requests are known by their fingerprint. Of one that no upstream has begun to answer yet, as many run at once as may
 * crash. A request that was running when an upstream crashed is a suspect: only one suspect at a time runs until its
 * first byte, so that the next crash is blamed on one request and not on all that shared the upstream. This router's own
 * counts act at once, beside those of the fleet, which come with the view.
 */
public final class CrashGuard {
    private static final String SELF = "";
    private static final int PROVEN_LIMIT = 16 * 1024;

    private final Vertx vertx;
    private final TrafficFeedback feedback;
    private final Map<String, Boolean> proven = new LinkedHashMap<>();
    private final Map<String, Integer> unproven = new HashMap<>();
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private CrashCounts counts = CrashCounts.empty();
    private boolean suspectRuns;

    /** The permission to run one attempt. */
    public interface Pass {
        /** Tells that the upstream has begun to answer. */
        void answered();

        /** Tells that the attempt has ended. */
        void ended();
    }

    private record Waiter(String fingerprint, Context context, Promise<Pass> promise) {}

    private CrashGuard(Vertx vertx, TrafficFeedback feedback) {
        this.vertx = vertx;
        this.feedback = feedback;
    }

    /**
     * A guard that has seen no crash.
     *
     * @param feedback tells the control thread of crashes
     */
    public static CrashGuard create(Vertx vertx, TrafficFeedback feedback) {
        return new CrashGuard(vertx, feedback);
    }

    /** A pass for work that is not guarded. */
    public static Pass unguarded() {
        return new Pass() {
            @Override
            public void answered() {}

            @Override
            public void ended() {}
        };
    }

    /** Completes on the calling event loop when an attempt of the request may run. */
    public Future<Pass> enter(String fingerprint) {
        Waiter waiter = new Waiter(fingerprint, vertx.getOrCreateContext(), Promise.promise());
        synchronized (this) {
            if (proven.containsKey(fingerprint) || mayRun(fingerprint)) {
                return Future.succeededFuture(begin(fingerprint));
            }
            waiting.add(waiter);
        }
        return waiter.promise.future();
    }

    /** Counts the crash of an upstream while it ran a request. */
    public void crashed(String upstream, String fingerprint, int weight) {
        synchronized (this) {
            counts = counts.withCrash(fingerprint, SELF, weight);
            proven.remove(fingerprint);
        }
        for (int unit = 0; unit < weight; unit++) {
            feedback.crashed(upstream, fingerprint);
        }
    }

    /** Whether the request has crashed upstreams so often that none gets it any more. */
    public synchronized boolean isQuarantined(TrafficView view, String fingerprint) {
        return view.quarantined().contains(fingerprint)
                || counts.total(fingerprint) >= CrashCounts.QUARANTINE_THRESHOLD;
    }

    private boolean mayRun(String fingerprint) {
        int crashes = counts.total(fingerprint);
        if (crashes >= CrashCounts.QUARANTINE_THRESHOLD) {
            return true;
        }
        int running = unproven.getOrDefault(fingerprint, 0);
        boolean room =
                running == 0 || crashes + CrashCounts.LOST_UPSTREAM * (running + 1) <= CrashCounts.QUARANTINE_THRESHOLD;
        return room && (crashes == 0 || !suspectRuns);
    }

    private Pass begin(String fingerprint) {
        int crashes = counts.total(fingerprint);
        boolean counted = !proven.containsKey(fingerprint) && crashes < CrashCounts.QUARANTINE_THRESHOLD;
        boolean suspect = counted && crashes > 0;
        if (counted) {
            unproven.merge(fingerprint, 1, Integer::sum);
        }
        suspectRuns |= suspect;
        return new CountedPass(fingerprint, counted, suspect);
    }

    private void leave(CountedPass pass, boolean answered) {
        List<Runnable> admitted;
        synchronized (this) {
            if (!pass.open) {
                return;
            }
            pass.open = false;
            if (pass.counted) {
                unproven.computeIfPresent(pass.fingerprint, (name, count) -> count > 1 ? count - 1 : null);
            }
            if (pass.suspect) {
                suspectRuns = false;
            }
            if (answered && counts.total(pass.fingerprint) == 0) {
                prove(pass.fingerprint);
            }
            admitted = admit();
        }
        admitted.forEach(Runnable::run);
    }

    private void prove(String fingerprint) {
        proven.put(fingerprint, true);
        if (proven.size() > PROVEN_LIMIT) {
            proven.remove(proven.keySet().iterator().next());
        }
    }

    private List<Runnable> admit() {
        List<Runnable> admitted = new ArrayList<>();
        waiting.removeIf(waiter -> {
            boolean allowed = proven.containsKey(waiter.fingerprint) || mayRun(waiter.fingerprint);
            if (allowed) {
                Pass pass = begin(waiter.fingerprint);
                admitted.add(() -> waiter.context.runOnContext(ignored -> waiter.promise.complete(pass)));
            }
            return allowed;
        });
        return admitted;
    }

    private final class CountedPass implements Pass {
        private final String fingerprint;
        private final boolean counted;
        private final boolean suspect;
        private boolean open = true;

        private CountedPass(String fingerprint, boolean counted, boolean suspect) {
            this.fingerprint = fingerprint;
            this.counted = counted;
            this.suspect = suspect;
        }

        @Override
        public void answered() {
            leave(this, true);
        }

        @Override
        public void ended() {
            leave(this, false);
        }
    }
}
