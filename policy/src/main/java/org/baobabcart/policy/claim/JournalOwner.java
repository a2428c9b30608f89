package org.baobabcart.policy.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.claim.ClaimResult.Kind;
import org.baobabcart.policy.claim.JournalOwnerStep.OperationResult;

/**
 * One router's part in writing the journal of one partition, as a state machine without input or output. Immutable.
 *
 * <p>Any number of routers may take themselves for the owner of a partition at the same time: the platform's conditional
 * update is the fence, and a result that grants a key is told only after the update against the version that was read has
 * succeeded. Operations that arrive while a call to the platform is under way are written together by the next one. A
 * write whose answer was lost is settled by reading back and comparing its id; operations are idempotent, so that those of
 * a write that is not found are applied again.
 *
 * <p>The one that drives the machine calls {@link #proceed} after each submission and each step, carries out the command,
 * and reports its result by the matching method.
 */
public final class JournalOwner {
    /** Failed calls to the platform in a row after which those who wait are told that it is unavailable. */
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

    /** An owner that has not read the journal. */
    public static JournalOwner create() {
        return new JournalOwner(new Builder());
    }

    /** Whether nothing waits and no call is under way. */
    public boolean isIdle() {
        return !busy && pending.isEmpty();
    }

    /** The journal as last read or written, if no write has failed since. */
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
     * Answers what needs no call, and starts the next call to the platform unless one is under way or nothing waits. The
     * answer of a finished call never changes, so that a copy that may be stale suffices, also while the platform is away.
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

    /** The journal was read; an object that does not exist is an empty journal with an empty version. */
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

    /** The journal could not be read. */
    public JournalOwnerStep readFailed() {
        return failed(new Builder(this).notBusy());
    }

    /** The write took effect and made a new version. */
    public JournalOwnerStep writeSucceeded(String resourceVersion, long nowNanos) {
        JournalWrite write = inFlight.orElseThrow();
        Builder builder = new Builder(this).notBusy();
        builder.cached = Optional.of(new CachedJournal(write.change().journal(), resourceVersion, nowNanos));
        builder.consecutiveFailures = 0;
        return JournalOwnerStep.of(builder.build(), write.operationResults());
    }

    /** The write had no effect, since someone else has written in the meantime. */
    public JournalOwnerStep writeConflicted() {
        Builder builder = new Builder(this).notBusy().requeueBatch().invalidateCache();
        return JournalOwnerStep.of(builder.build(), List.of());
    }

    /** The write may have taken effect, or may yet do so. */
    public JournalOwnerStep writeOutcomeUnknown() {
        Builder builder = new Builder(this).notBusy().requeueBatch();
        builder.unconfirmed = inFlight;
        return failed(builder.invalidateCache());
    }

    /** The write surely had no effect, since the platform could not be reached. */
    public JournalOwnerStep writeFailed() {
        return failed(new Builder(this).notBusy().requeueBatch());
    }

    /** The delay of a {@link JournalOwnerStep.Pause} is over. */
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

    /** Makes the next state; confined to one step. */
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

        /** A stale journal suffices to tell that a key may have been used; it never suffices to grant one. */
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
