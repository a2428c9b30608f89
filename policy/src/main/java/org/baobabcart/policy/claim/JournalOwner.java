package org.baobabcart.policy.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.claim.ClaimResult.Kind;
import org.baobabcart.policy.claim.OwnerStep.Answer;

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
    public static final int FAILURE_LIMIT = 3;

    private static final long PAUSE_NANOS = 20_000_000;

    private final Optional<HeldJournal> held;
    private final Optional<HeldJournal> stale;
    private final List<PendingOperation> waiting;
    private final Optional<JournalWrite> underway;
    private final Optional<JournalWrite> unsettled;
    private final Optional<WritePace> pace;
    private final boolean busy;
    private final int failures;

    private JournalOwner(Builder builder) {
        this.held = builder.held;
        this.stale = builder.stale;
        this.waiting = List.copyOf(builder.waiting);
        this.underway = builder.underway;
        this.unsettled = builder.unsettled;
        this.pace = builder.pace;
        this.busy = builder.busy;
        this.failures = builder.failures;
    }

    /** An owner that has not read the journal. */
    public static JournalOwner create() {
        return new JournalOwner(new Builder());
    }

    /** Whether nothing waits and no call is under way. */
    public boolean idle() {
        return !busy && waiting.isEmpty();
    }

    /** The journal as last read or written, if no write has failed since. */
    public Optional<HeldJournal> held() {
        return held;
    }

    /** Adds an operation. */
    public JournalOwner submit(PendingOperation operation) {
        Builder builder = new Builder(this);
        builder.waiting.add(operation);
        return builder.build();
    }

    /**
     * Answers what needs no call, and starts the next call to the platform unless one is under way or nothing waits. The
     * answer of a finished call never changes, so that a copy that may be stale suffices, also while the platform is away.
     */
    public OwnerStep proceed(long nowNanos, String newWriteId) {
        Builder builder = new Builder(this);
        List<Answer> answers = builder.takeExpired(nowNanos);
        held.or(() -> stale).ifPresent(known -> answers.addAll(builder.takeLasting(known.at(nowNanos))));
        if (busy || builder.waiting.isEmpty()) {
            return OwnerStep.of(builder.build(), answers);
        }
        return held.isEmpty()
                ? builder.busy(answers, new OwnerStep.Read())
                : write(builder, answers, nowNanos, newWriteId);
    }

    /** The journal was read; an object that does not exist is an empty journal with an empty version. */
    public OwnerStep readAnswered(ClaimJournal journal, String resourceVersion, long nowNanos) {
        Builder builder = new Builder(this).idle();
        builder.held = Optional.of(new HeldJournal(journal, resourceVersion, nowNanos));
        builder.stale = Optional.empty();
        builder.unsettled = Optional.empty();
        builder.failures = 0;
        boolean found = unsettled.isPresent() && unsettled.get().writeId().equals(journal.writeId());
        if (!found) {
            return OwnerStep.of(builder.build(), List.of());
        }
        builder.waiting.removeAll(unsettled.get().batch());
        return OwnerStep.of(builder.build(), unsettled.get().answers());
    }

    /** The journal could not be read. */
    public OwnerStep readFailed() {
        return failed(new Builder(this).idle());
    }

    /** The write took effect and made a new version. */
    public OwnerStep writeAnswered(String resourceVersion, long nowNanos) {
        JournalWrite write = underway.orElseThrow();
        Builder builder = new Builder(this).idle();
        builder.held = Optional.of(new HeldJournal(write.change().journal(), resourceVersion, nowNanos));
        builder.failures = 0;
        return OwnerStep.of(builder.build(), write.answers());
    }

    /** The write had no effect, since someone else has written in the meantime. */
    public OwnerStep writeConflicted() {
        Builder builder = new Builder(this).idle().withBatchBack().stale();
        return OwnerStep.of(builder.build(), List.of());
    }

    /** The write may have taken effect, or may yet do so. */
    public OwnerStep writeLost() {
        Builder builder = new Builder(this).idle().withBatchBack();
        builder.unsettled = underway;
        return failed(builder.stale());
    }

    /** The write surely had no effect, since the platform could not be reached. */
    public OwnerStep writeFailed() {
        return failed(new Builder(this).idle().withBatchBack());
    }

    /** The delay of a {@link OwnerStep.Pause} is over. */
    public JournalOwner resumed() {
        return new Builder(this).idle().build();
    }

    private OwnerStep write(Builder builder, List<Answer> answers, long nowNanos, String newWriteId) {
        HeldJournal base = held.orElseThrow();
        JournalChange change = base.at(nowNanos).apply(operations(builder.waiting), newWriteId);
        if (change.changed()) {
            WritePace current = pace.map(earlier -> earlier.at(nowNanos)).orElseGet(() -> WritePace.full(nowNanos));
            if (current.delayNanos() > 0) {
                return builder.busy(answers, new OwnerStep.Pause(current.delayNanos()));
            }
            builder.pace = Optional.of(current.spent());
            builder.underway = Optional.of(new JournalWrite(List.copyOf(builder.waiting), change));
            builder.waiting.clear();
            return builder.busy(answers, new OwnerStep.Write(change.journal(), base.resourceVersion()));
        }
        if (builder.waiting.stream().allMatch(pending -> pending.submittedNanos() <= base.obtainedNanos())) {
            answers.addAll(OwnerStep.answers(builder.waiting, change.results()));
            builder.waiting.clear();
            return OwnerStep.of(builder.build(), answers);
        }
        return builder.stale().busy(answers, new OwnerStep.Read());
    }

    private static OwnerStep failed(Builder builder) {
        builder.failures++;
        if (builder.failures < FAILURE_LIMIT) {
            return builder.busy(List.of(), new OwnerStep.Pause(PAUSE_NANOS << builder.failures));
        }
        List<Answer> answers = builder.waiting.stream()
                .map(pending -> new Answer(pending.ticket(), builder.withoutPlatform(pending.operation())))
                .toList();
        builder.waiting.clear();
        builder.failures = 0;
        return OwnerStep.of(builder.build(), answers);
    }

    private static List<ClaimOperation> operations(List<PendingOperation> pending) {
        return pending.stream().map(PendingOperation::operation).toList();
    }

    /** Makes the next state; confined to one step. */
    private static final class Builder {
        private Optional<HeldJournal> held = Optional.empty();
        private Optional<HeldJournal> stale = Optional.empty();
        private List<PendingOperation> waiting = new ArrayList<>();
        private Optional<JournalWrite> underway = Optional.empty();
        private Optional<JournalWrite> unsettled = Optional.empty();
        private Optional<WritePace> pace = Optional.empty();
        private boolean busy;
        private int failures;

        private Builder() {}

        private Builder(JournalOwner owner) {
            held = owner.held;
            stale = owner.stale;
            waiting = new ArrayList<>(owner.waiting);
            underway = owner.underway;
            unsettled = owner.unsettled;
            pace = owner.pace;
            busy = owner.busy;
            failures = owner.failures;
        }

        private JournalOwner build() {
            return new JournalOwner(this);
        }

        private Builder stale() {
            stale = held.or(() -> stale);
            held = Optional.empty();
            return this;
        }

        private Builder idle() {
            busy = false;
            return this;
        }

        private OwnerStep busy(List<Answer> answers, OwnerStep.Command command) {
            busy = true;
            return OwnerStep.of(build(), answers, command);
        }

        private Builder withBatchBack() {
            waiting.addAll(0, underway.orElseThrow().batch());
            return this;
        }

        private List<Answer> takeExpired(long nowNanos) {
            List<PendingOperation> expired = waiting.stream()
                    .filter(pending -> nowNanos - pending.deadlineNanos() >= 0)
                    .toList();
            waiting.removeAll(expired);
            List<Answer> answers = new ArrayList<>();
            expired.forEach(pending -> answers.add(new Answer(pending.ticket(), ClaimResult.of(Kind.UNAVAILABLE))));
            return answers;
        }

        private List<Answer> takeLasting(ClaimJournal journal) {
            List<ClaimResult> results = journal.apply(operations(waiting), "").results();
            List<Answer> answers = new ArrayList<>();
            List<PendingOperation> rest = new ArrayList<>();
            for (int index = 0; index < results.size(); index++) {
                if (results.get(index).kind().lasting()) {
                    answers.add(new Answer(waiting.get(index).ticket(), results.get(index)));
                } else {
                    rest.add(waiting.get(index));
                }
            }
            waiting = rest;
            return answers;
        }

        /** A stale journal suffices to tell that a key may have been used; it never suffices to grant one. */
        private ClaimResult withoutPlatform(ClaimOperation operation) {
            if (!(operation instanceof ClaimOperation.Acquire)) {
                return ClaimResult.of(Kind.UNAVAILABLE);
            }
            return held.or(() -> stale)
                    .map(known -> known.journal()
                            .apply(List.of(operation), "")
                            .results()
                            .get(0))
                    .filter(result -> result.kind().claimed())
                    .orElse(ClaimResult.of(Kind.UNAVAILABLE));
        }
    }
}
