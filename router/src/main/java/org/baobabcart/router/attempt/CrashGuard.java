package org.baobabcart.router.attempt;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.crash.CrashVerdict;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.router.crash.CrashLedger;

/**
 * Limits the upstream crashes that requests cause through this router. Thread-safe.
 *
 * <p>A suspect request runs only while no other request with the same accused key awaits its first byte here, and at an upstream
 * without another suspect if there is one, so that the next crash is attributed to a single request. A suspect that would have to wait too long
 * is refused. A quarantined request is refused at once.
 */
public final class CrashGuard {
    private static final int MAX_WAITING = 1024;
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);
    /** The part of the time left that a suspect may wait; the rest is for the attempt itself. */
    private static final int WAIT_DIVISOR = 3;

    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

    private final Vertx vertx;
    private final CrashLedger ledger;
    private final Meter quarantinedRefused;
    private final Meter suspectsRefused;
    private final CopyLimit copies = new CopyLimit();
    private final Set<Permit> unanswered = new LinkedHashSet<>();
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private boolean checkScheduled;

    private record Waiter(
            Attributable request,
            RequestFingerprint fingerprint,
            long suspectEndNanos,
            long deadlineNanos,
            Context context,
            Promise<Permit> promise) {}

    private CrashGuard(Vertx vertx, CrashLedger ledger, MetricRegistry metrics) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.quarantinedRefused = metrics.meter("crash.quarantined-refused");
        this.suspectsRefused = metrics.meter("crash.suspects-refused");
        ledger.onEvidenceChanged(this::admitWaiters);
        metrics.gauge("crash.suspects-waiting", () -> this::waitingCount);
        metrics.gauge(
                "crash.quarantines", () -> () -> ledger.evidence().quarantines().size());
    }

    /** Creates a guard that follows the verdicts of a ledger. */
    public static CrashGuard create(Vertx vertx, CrashLedger ledger, MetricRegistry metrics) {
        return new CrashGuard(vertx, ledger, metrics);
    }

    private synchronized int waitingCount() {
        return waiting.size();
    }

    /**
     * Acquires a permit to run an attempt; completes on the calling event loop, or fails if the request is refused.
     *
     * @param deadlineNanos the time by which the response must be complete
     * @param abandoned completes when the permit is no longer needed
     */
    public Future<Permit> acquirePermit(Attributable request, long deadlineNanos, Future<?> abandoned) {
        // The fingerprint is costly, so it is computed only if it is compared with something.
        Optional<RequestFingerprint> fingerprint =
                ledger.isQuiet() && !request.isFingerprintDistinctive() ? Optional.empty() : request.fingerprint();
        if (fingerprint.isEmpty()) {
            synchronized (this) {
                return Future.succeededFuture(begin(new Permit(request, Optional.empty(), Optional.empty(), false)));
            }
        }
        ledger.review();
        synchronized (this) {
            return decide(request, fingerprint.get())
                    .orElseGet(() -> enqueue(request, fingerprint.get(), deadlineNanos, abandoned));
        }
    }

    /** Returns a permit or a refusal; empty if the request has to wait. */
    private Optional<Future<Permit>> decide(Attributable request, RequestFingerprint fingerprint) {
        switch (ledger.verdict(fingerprint)) {
            case QUARANTINED -> {
                return Optional.of(
                        ledger.tryBeginTrial(fingerprint)
                                ? Future.succeededFuture(beginSuspect(request, fingerprint, true))
                                : Future.failedFuture(quarantined(fingerprint)));
            }
            case SUSPECT -> {
                String key = ledger.evidence().leadingKey(fingerprint);
                boolean mayRun =
                        ledger.mayTry(fingerprint) && unanswered.stream().noneMatch(running -> running.hasKey(key));
                return mayRun
                        ? Optional.of(Future.succeededFuture(beginSuspect(request, fingerprint, false)))
                        : Optional.empty();
            }
            default -> {
                return beginClear(request, fingerprint).map(Future::succeededFuture);
            }
        }
    }

    private Permit begin(Permit permit) {
        unanswered.add(permit);
        return permit;
    }

    private Optional<Permit> beginClear(Attributable request, RequestFingerprint fingerprint) {
        if (!request.isFingerprintDistinctive()) {
            return Optional.of(begin(new Permit(request, Optional.empty(), Optional.empty(), false)));
        }
        if (!copies.mayRun(fingerprint.request())) {
            return Optional.empty();
        }
        copies.started(fingerprint.request());
        return Optional.of(begin(new Permit(request, Optional.empty(), Optional.of(fingerprint.request()), false)));
    }

    private Permit beginSuspect(Attributable request, RequestFingerprint fingerprint, boolean trial) {
        String key = ledger.evidence().leadingKey(fingerprint);
        return begin(new Permit(request, Optional.of(key), Optional.empty(), trial));
    }

    private Future<Permit> enqueue(
            Attributable request, RequestFingerprint fingerprint, long deadlineNanos, Future<?> abandoned) {
        if (waiting.size() >= MAX_WAITING) {
            return Future.failedFuture(BaobabcartException.of(ResultCode.QUEUE_FULL));
        }
        long now = System.nanoTime();
        long wait = Math.min(MAX_WAIT.toNanos(), (deadlineNanos - now) / WAIT_DIVISOR);
        Waiter waiter = new Waiter(
                request, fingerprint, now + wait, deadlineNanos, vertx.getOrCreateContext(), Promise.promise());
        waiting.add(waiter);
        scheduleCheck();
        abandoned.onComplete(ignored -> abandon(waiter));
        return waiter.promise.future();
    }

    private void abandon(Waiter waiter) {
        boolean removed;
        synchronized (this) {
            removed = waiting.removeIf(other -> other.promise == waiter.promise);
        }
        if (removed) {
            waiter.promise.fail(BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE, "request abandoned"));
        }
    }

    /** Returns the refusal of a quarantined request, with the time until such a request is tried again. */
    private BaobabcartException quarantined(RequestFingerprint fingerprint) {
        quarantinedRefused.mark();
        BaobabcartException refusal =
                BaobabcartException.of(ResultCode.REQUEST_QUARANTINED, ledger.describe(fingerprint));
        return ledger.timeToTrial(fingerprint).map(refusal::withRetryAfter).orElse(refusal);
    }

    /**
     * Checks right before the first byte of an attempt whether the request has been quarantined since its permit was acquired.
     *
     * @throws BaobabcartException if so
     */
    void check(Permit permit) {
        if (ledger.isQuiet() || permit.trial) {
            return;
        }
        permit.request.fingerprint().ifPresent(fingerprint -> {
            if (ledger.verdict(fingerprint) == CrashVerdict.QUARANTINED) {
                throw quarantined(fingerprint);
            }
        });
    }

    /** Returns the upstreams at which another suspect awaits its first byte, if the permit is for a suspect. */
    synchronized Set<String> avoidedUpstreams(Permit permit) {
        if (permit.suspectKey.isEmpty()) {
            return Set.of();
        }
        return unanswered.stream()
                .filter(running -> running != permit && running.suspectKey.isPresent())
                .flatMap(running -> running.upstream.stream())
                .collect(Collectors.toSet());
    }

    private void scheduleCheck() {
        if (checkScheduled || waiting.isEmpty()) {
            return;
        }
        checkScheduled = true;
        vertx.setTimer(CHECK_PERIOD.toMillis(), ignored -> {
            ledger.review();
            synchronized (this) {
                checkScheduled = false;
            }
            admitWaiters();
        });
    }

    private void admitWaiters() {
        List<Runnable> actions = new ArrayList<>();
        synchronized (this) {
            waiting.removeIf(waiter -> {
                Optional<Future<Permit>> decision =
                        decide(waiter.request, waiter.fingerprint).or(() -> refuseIfExpired(waiter));
                decision.ifPresent(result ->
                        actions.add(() -> waiter.context.runOnContext(ignored -> result.onComplete(waiter.promise))));
                return decision.isPresent();
            });
            scheduleCheck();
        }
        actions.forEach(Runnable::run);
    }

    /** Refuses a suspect at the end of its wait. A copy that only waits for another to be answered may wait until its deadline. */
    private Optional<Future<Permit>> refuseIfExpired(Waiter waiter) {
        long now = System.nanoTime();
        boolean isSuspect = ledger.verdict(waiter.fingerprint) != CrashVerdict.CLEAR;
        if (isSuspect && now - waiter.suspectEndNanos >= 0) {
            suspectsRefused.mark();
            return Optional.of(Future.failedFuture(BaobabcartException.of(ResultCode.REQUEST_SUSPECT)));
        }
        return now - waiter.deadlineNanos >= 0
                ? Optional.of(Future.failedFuture(BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE)))
                : Optional.empty();
    }

    /** Permission to run one attempt. */
    public final class Permit {
        private final Attributable request;
        private final Optional<String> suspectKey;
        private final Optional<String> copy;
        private final boolean trial;
        private Optional<String> upstream = Optional.empty();
        private boolean ended;

        private Permit(Attributable request, Optional<String> suspectKey, Optional<String> copy, boolean trial) {
            this.request = request;
            this.suspectKey = suspectKey;
            this.copy = copy;
            this.trial = trial;
        }

        private boolean hasKey(String key) {
            List<String> parts = request.promptParts();
            boolean isRequest = parts.isEmpty()
                    && request.fingerprint()
                            .filter(fingerprint -> fingerprint.request().equals(key))
                            .isPresent();
            return isRequest || parts.contains(key);
        }

        /** Must be called when the attempt is assigned to an upstream. */
        void assigned(VirtualMachine assigned) {
            synchronized (CrashGuard.this) {
                upstream = Optional.of(assigned.name());
            }
        }

        /** Must be called when the first complete part of the answer has arrived. */
        void responseStarted() {
            List<String> parts = request.promptParts();
            if (ledger.isQuiet() && !parts.isEmpty()) {
                ledger.recordAnswered(parts);
            } else {
                request.fingerprint().ifPresent(ledger::recordAnswered);
            }
            end(true);
        }

        /** Must be called if the upstream broke the connection before the answer began. */
        void crashed(VirtualMachine crashedUpstream, CrashSeverity severity) {
            if (severity == CrashSeverity.LOST_UPSTREAM || request.isFingerprintDistinctive()) {
                request.fingerprint()
                        .ifPresent(fingerprint -> ledger.recordCrash(crashedUpstream, severity, fingerprint));
            }
        }

        /** Must be called when the attempt has ended. */
        void attemptEnded() {
            end(false);
        }

        private void end(boolean answered) {
            synchronized (CrashGuard.this) {
                if (ended) {
                    return;
                }
                ended = true;
                unanswered.remove(this);
                copy.ifPresent(digest -> copies.ended(digest, answered));
                if (waiting.isEmpty()) {
                    return;
                }
            }
            admitWaiters();
        }
    }
}
