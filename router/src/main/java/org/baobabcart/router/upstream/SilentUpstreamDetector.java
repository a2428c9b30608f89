package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;

/**
 * Detects upstreams that send nothing on any connection while attempts wait for them. Thread-safe.
 *
 * <p>A silent upstream is probed with a new connection. If that fails and nothing has arrived in the meantime, all
 * attempts there that can be replaced fail immediately, long before their own deadlines. Otherwise they keep waiting,
 * because a busy upstream may be silent for a while.
 */
final class SilentUpstreamDetector {
    private final Duration limit;
    private final Function<VirtualMachine, Future<Boolean>> reachable;
    private final Map<String, UpstreamActivity> activities = new ConcurrentHashMap<>();
    private volatile long lastActivityNanos = System.nanoTime();

    private SilentUpstreamDetector(Duration limit, Function<VirtualMachine, Future<Boolean>> reachable) {
        this.limit = limit;
        this.reachable = reachable;
    }

    /**
     * Creates a detector, which acts only when {@link #check} is called.
     *
     * @param limit the time without activity after which an upstream is probed
     * @param reachable returns whether a new connection to an upstream can be opened
     */
    static SilentUpstreamDetector create(Duration limit, Function<VirtualMachine, Future<Boolean>> reachable) {
        return new SilentUpstreamDetector(limit, reachable);
    }

    /**
     * Registers an attempt that waits for progress.
     *
     * @param fail fails the attempt
     * @param replaceable whether the attempt should fail if the upstream cannot be reached; evaluated at that time
     */
    Registration register(VirtualMachine upstream, Consumer<AttemptException> fail, BooleanSupplier replaceable) {
        UpstreamActivity activity =
                activities.computeIfAbsent(upstream.name(), ignored -> new UpstreamActivity(upstream));
        return activity.register(() -> lastActivityNanos = System.nanoTime(), fail, replaceable);
    }

    /** Returns when anything last arrived from any upstream, or when this instance was created. */
    long lastActivityNanos() {
        return lastActivityNanos;
    }

    /** Probes the upstreams that have been silent for longer than the limit. */
    void check(long nowNanos) {
        activities.values().removeIf(UpstreamActivity::isUnused);
        activities.values().stream()
                .filter(activity -> activity.isSilent(nowNanos, limit.toNanos()))
                .forEach(this::probe);
    }

    /** Fails the attempts at an upstream that has restarted and so lost them. */
    void restarted(String upstream) {
        UpstreamActivity activity = activities.get(upstream);
        if (activity != null) {
            activity.failAll("the upstream has restarted");
        }
    }

    private void probe(UpstreamActivity activity) {
        activity.probeStarted();
        reachable.apply(activity.upstream).onComplete(connected -> {
            boolean stillSilent = activity.probeCompleted(System.nanoTime());
            if (stillSilent && (connected.failed() || !connected.result())) {
                activity.failAll("the upstream accepts no new connection");
            }
        });
    }

    /** The registered attempts at one upstream, and the time of its last activity. */
    private static final class UpstreamActivity {
        private final VirtualMachine upstream;
        private final Map<Registration, Consumer<AttemptException>> attempts = new HashMap<>();
        private long lastActivityNanos;
        private boolean probing;
        private boolean activeSinceProbe;

        private UpstreamActivity(VirtualMachine upstream) {
            this.upstream = upstream;
        }

        private synchronized Registration register(
                Runnable onActivity, Consumer<AttemptException> fail, BooleanSupplier replaceable) {
            Registration registration = new Registration(this, onActivity, replaceable);
            if (attempts.isEmpty()) {
                lastActivityNanos = System.nanoTime();
            }
            attempts.put(registration, fail);
            return registration;
        }

        private synchronized void recordActivity() {
            lastActivityNanos = System.nanoTime();
            activeSinceProbe = true;
        }

        private synchronized void remove(Registration registration) {
            attempts.remove(registration);
        }

        private synchronized void probeStarted() {
            probing = true;
            activeSinceProbe = false;
        }

        /** Returns whether there was no activity since the probe started. */
        private synchronized boolean probeCompleted(long nowNanos) {
            probing = false;
            if (!activeSinceProbe) {
                lastActivityNanos = nowNanos;
            }
            return !activeSinceProbe;
        }

        private synchronized boolean isUnused() {
            return attempts.isEmpty() && !probing;
        }

        private synchronized boolean isSilent(long nowNanos, long limitNanos) {
            return !attempts.isEmpty() && !probing && nowNanos - lastActivityNanos > limitNanos;
        }

        private void failAll(String reason) {
            AttemptException failure = AttemptException.of(FailureKind.BROKEN, upstream.name(), reason);
            registrations().stream()
                    .filter(attempt -> attempt.getKey().replaceable.getAsBoolean())
                    .forEach(attempt -> attempt.getValue().accept(failure));
        }

        private synchronized List<Map.Entry<Registration, Consumer<AttemptException>>> registrations() {
            return List.copyOf(attempts.entrySet());
        }
    }

    /** The registration of one attempt. Thread-safe. */
    static final class Registration {
        private final UpstreamActivity activity;
        private final Runnable onActivity;
        private final BooleanSupplier replaceable;

        private Registration(UpstreamActivity activity, Runnable onActivity, BooleanSupplier replaceable) {
            this.activity = activity;
            this.onActivity = onActivity;
            this.replaceable = replaceable;
        }

        /** Records activity of the upstream. */
        void recordActivity() {
            activity.recordActivity();
            onActivity.run();
        }

        /** Removes the attempt when it has ended. */
        void close() {
            activity.remove(this);
        }
    }
}
