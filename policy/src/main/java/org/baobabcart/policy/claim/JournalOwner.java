package org.baobabcart.policy.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.claim.ClaimResult.Kind;
import org.baobabcart.policy.claim.JournalOwnerStep.OperationResult;

/**
 * The state machine by which one router writes the journal of one partition. Performs no input or output. Immutable.
 *
 * <p>Several routers may consider themselves the owner of a partition at the same time. The platform's conditional
 * update acts as the fence: a result that grants a key is returned only after the update of the version that was read
 * has succeeded. Operations that arrive during a call to the platform are written together by the next call. If the
 * answer to a write is lost, the journal is read back and its write id compared; since operations are idempotent, those
 * of a write that is not found are applied again.
 *
 * <p>The caller invokes {@link #proceed} after each submission and each step, executes the returned command and reports
 * its result by the matching method.
 */
public final class JournalOwner {
    /**
     * The number of consecutive failed calls to the platform after which pending operations are answered as
     * unavailable, unless a copy of the journal shows that another attempt has claimed the key.
     */
    public static final int MAX_CONSECUTIVE_FAILURES = 3;

    private static final long RETRY_DELAY_NANOS = 20_000_000;

    private final Optional<CachedJournal> cached;
    private final Optional<CachedJournal> stale;
    private final List<PendingOperation> pending;
    private final Optional<JournalWrite> inFlight;
    private final Optional<JournalWrite> unconfirmed;
    private final Optional<WriteTokenBucket> tokenBucket;
    private final boolean busy;
    private final int consecutiveFailures;

    private JournalOwner(Builder builder) {
        this.cached = builder.cached;
        this.stale = builder.stale;
        this.pending = List.copyOf(builder.pending);
        this.inFlight = builder.inFlight;
        this.unconfirmed = builder.unconfirmed;
        this.tokenBucket = builder.tokenBucket;
        this.busy = builder.busy;
        this.consecutiveFailures = builder.consecutiveFailures;
    }

    /** Creates an owner that has not read the journal. */
    public static JournalOwner create() {
        return new JournalOwner(new Builder());
    }

    /** Returns whether there is neither a pending operation nor a call in progress. */
    public boolean isIdle() {
        return !busy && pending.isEmpty();
    }

    /** Returns the journal as last read or written, or empty if it was not read yet or may be outdated. */
    public Optional<CachedJournal> cached() {
        return cached;
    }

    /** Adds an operation. */
    public JournalOwner submit(PendingOperation operation) {
        Builder builder = new Builder(this);
        builder.pending.add(operation);
        return builder.build();
    }

    /**
     * Returns results that need no call to the platform, and starts the next call unless one is in progress or nothing
     * is pending. The answer of a finished call never changes, so that it is returned even from an outdated copy or
     * while the platform is unavailable.
     */
    public JournalOwnerStep proceed(long nowNanos, String newWriteId) {
        Builder builder = new Builder(this);
        List<OperationResult> results = builder.takeExpired(nowNanos);
        cached.or(() -> stale).ifPresent(known -> results.addAll(builder.takePermanent(known.agedTo(nowNanos))));
        if (busy || builder.pending.isEmpty()) {
            return JournalOwnerStep.of(builder.build(), results);
        }
        return cached.isEmpty()
                ? builder.busy(results, new JournalOwnerStep.Read())
                : write(builder, results, nowNanos, newWriteId);
    }

    /** Handles a successful read. An object that does not exist is an empty journal with an empty version. */
    public JournalOwnerStep readSucceeded(ClaimJournal journal, String resourceVersion, long nowNanos) {
        Builder builder = new Builder(this).notBusy();
        builder.cached = Optional.of(new CachedJournal(journal, resourceVersion, nowNanos));
        builder.stale = Optional.empty();
        builder.unconfirmed = Optional.empty();
        builder.consecutiveFailures = 0;
        boolean found = unconfirmed.isPresent() && unconfirmed.get().writeId().equals(journal.writeId());
        if (!found) {
            return JournalOwnerStep.of(builder.build(), List.of());
        }
        builder.pending.removeAll(unconfirmed.get().batch());
        return JournalOwnerStep.of(builder.build(), unconfirmed.get().operationResults());
    }

    /** Handles a failed read. */
    public JournalOwnerStep readFailed() {
        return failed(new Builder(this).notBusy());
    }

    /** Handles a successful write. */
    public JournalOwnerStep writeSucceeded(String resourceVersion, long nowNanos) {
        JournalWrite write = inFlight.orElseThrow();
        Builder builder = new Builder(this).notBusy();
        builder.cached = Optional.of(new CachedJournal(write.change().journal(), resourceVersion, nowNanos));
        builder.consecutiveFailures = 0;
        return JournalOwnerStep.of(builder.build(), write.operationResults());
    }

    /** Handles a write without effect, because another router has written in the meantime. */
    public JournalOwnerStep writeConflicted() {
        Builder builder = new Builder(this).notBusy().requeueBatch().invalidateCache();
        return JournalOwnerStep.of(builder.build(), List.of());
    }

    /** Handles a write that may have taken effect or may still do so. */
    public JournalOwnerStep writeOutcomeUnknown() {
        Builder builder = new Builder(this).notBusy().requeueBatch();
        builder.unconfirmed = inFlight;
        return failed(builder.invalidateCache());
    }

    /** Handles a write that certainly had no effect, because the platform was unreachable. */
    public JournalOwnerStep writeFailed() {
        return failed(new Builder(this).notBusy().requeueBatch());
    }

    /** Handles the end of the delay of a {@link JournalOwnerStep.Pause}. */
    public JournalOwner resumed() {
        return new Builder(this).notBusy().build();
    }

    private JournalOwnerStep write(Builder builder, List<OperationResult> results, long nowNanos, String newWriteId) {
        CachedJournal base = cached.orElseThrow();
        JournalChange change = base.agedTo(nowNanos).apply(operations(builder.pending), newWriteId);
        if (change.changed()) {
            WriteTokenBucket current = tokenBucket
                    .map(earlier -> earlier.refilled(nowNanos))
                    .orElseGet(() -> WriteTokenBucket.full(nowNanos));
            if (current.delayNanos() > 0) {
                return builder.busy(results, new JournalOwnerStep.Pause(current.delayNanos()));
            }
            builder.tokenBucket = Optional.of(current.withTokenTaken());
            builder.inFlight = Optional.of(new JournalWrite(List.copyOf(builder.pending), change));
            builder.pending.clear();
            return builder.busy(results, new JournalOwnerStep.Write(change.journal(), base.resourceVersion()));
        }
        if (builder.pending.stream().allMatch(operation -> base.fetchedNanos() - operation.submittedNanos() >= 0)) {
            results.addAll(JournalOwnerStep.operationResults(builder.pending, change.results()));
            builder.pending.clear();
            return JournalOwnerStep.of(builder.build(), results);
        }
        return builder.invalidateCache().busy(results, new JournalOwnerStep.Read());
    }

    private static JournalOwnerStep failed(Builder builder) {
        builder.consecutiveFailures++;
        if (builder.consecutiveFailures < MAX_CONSECUTIVE_FAILURES) {
            return builder.busy(
                    List.of(), new JournalOwnerStep.Pause(RETRY_DELAY_NANOS << builder.consecutiveFailures));
        }
        List<OperationResult> results = builder.pending.stream()
                .map(operation ->
                        new OperationResult(operation.ticket(), builder.resultWithoutPlatform(operation.operation())))
                .toList();
        builder.pending.clear();
        builder.consecutiveFailures = 0;
        return JournalOwnerStep.of(builder.build(), results);
    }

    private static List<ClaimOperation> operations(List<PendingOperation> pending) {
        return pending.stream().map(PendingOperation::operation).toList();
    }

    /** Builds the next state. Confined to one step. */
    private static final class Builder {
        private Optional<CachedJournal> cached = Optional.empty();
        private Optional<CachedJournal> stale = Optional.empty();
        private List<PendingOperation> pending = new ArrayList<>();
        private Optional<JournalWrite> inFlight = Optional.empty();
        private Optional<JournalWrite> unconfirmed = Optional.empty();
        private Optional<WriteTokenBucket> tokenBucket = Optional.empty();
        private boolean busy;
        private int consecutiveFailures;

        private Builder() {}

        private Builder(JournalOwner owner) {
            cached = owner.cached;
            stale = owner.stale;
            pending = new ArrayList<>(owner.pending);
            inFlight = owner.inFlight;
            unconfirmed = owner.unconfirmed;
            tokenBucket = owner.tokenBucket;
            busy = owner.busy;
            consecutiveFailures = owner.consecutiveFailures;
        }

        private JournalOwner build() {
            return new JournalOwner(this);
        }

        private Builder invalidateCache() {
            stale = cached.or(() -> stale);
            cached = Optional.empty();
            return this;
        }

        private Builder notBusy() {
            busy = false;
            return this;
        }

        private JournalOwnerStep busy(List<OperationResult> results, JournalOwnerStep.Command command) {
            busy = true;
            return JournalOwnerStep.of(build(), results, command);
        }

        private Builder requeueBatch() {
            pending.addAll(0, inFlight.orElseThrow().batch());
            return this;
        }

        private List<OperationResult> takeExpired(long nowNanos) {
            List<PendingOperation> expired = pending.stream()
                    .filter(operation -> nowNanos - operation.deadlineNanos() >= 0)
                    .toList();
            pending.removeAll(expired);
            List<OperationResult> results = new ArrayList<>();
            expired.forEach(operation ->
                    results.add(new OperationResult(operation.ticket(), ClaimResult.of(Kind.UNAVAILABLE))));
            return results;
        }

        private List<OperationResult> takePermanent(ClaimJournal journal) {
            List<ClaimResult> claimResults =
                    journal.apply(operations(pending), "").results();
            List<OperationResult> results = new ArrayList<>();
            List<PendingOperation> rest = new ArrayList<>();
            for (int index = 0; index < claimResults.size(); index++) {
                if (claimResults.get(index).kind().permanent()) {
                    results.add(new OperationResult(pending.get(index).ticket(), claimResults.get(index)));
                } else {
                    rest.add(pending.get(index));
                }
            }
            pending = rest;
            return results;
        }

        /** An outdated journal suffices to report that a key may have been used, but never to grant it. */
        private ClaimResult resultWithoutPlatform(ClaimOperation operation) {
            if (!(operation instanceof ClaimOperation.Acquire)) {
                return ClaimResult.of(Kind.UNAVAILABLE);
            }
            return cached.or(() -> stale)
                    .map(known -> known.journal()
                            .apply(List.of(operation), "")
                            .results()
                            .get(0))
                    .filter(result -> result.kind().heldByOther())
                    .orElse(ClaimResult.of(Kind.UNAVAILABLE));
        }
    }
}
