package org.baobabcart.router.claim;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.claim.ClaimJournal;
import org.baobabcart.policy.claim.ClaimOperation;
import org.baobabcart.policy.claim.ClaimResult;
import org.baobabcart.policy.claim.JournalOwner;
import org.baobabcart.policy.claim.JournalOwnerStep;
import org.baobabcart.policy.claim.PendingOperation;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Drives the {@link JournalOwner} of one partition: executes its commands and completes the pending results.
 * Thread-safe; platform calls are made and results are completed outside the lock.
 */
final class PartitionWriter {
    private final String objectName;
    private final ObjectStore store;
    private final TimerService timers;
    private final ClaimMetrics metrics;
    private final long callTimeoutNanos;

    private final Map<Long, CompletableFuture<ClaimResult>> pendingResults = new HashMap<>();
    private JournalOwner owner = JournalOwner.create();
    private long nextTicket;
    private long callNumber;
    private Optional<Runnable> timeoutAction = Optional.empty();
    private long timeoutAtNanos;

    PartitionWriter(
            String objectName, ObjectStore store, TimerService timers, ClaimMetrics metrics, ClaimSettings settings) {
        this.objectName = objectName;
        this.store = store;
        this.timers = timers;
        this.metrics = metrics;
        this.callTimeoutNanos = settings.platformCallTimeout().toNanos();
    }

    /** Submits an operation. The future completes with the result once it is certain and never fails. */
    CompletableFuture<ClaimResult> submit(ClaimOperation operation, long deadlineNanos) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        synchronized (this) {
            long ticket = nextTicket++;
            pendingResults.put(ticket, result);
            owner = owner.submit(new PendingOperation(ticket, operation, timers.nanoTime(), deadlineNanos));
        }
        proceed();
        return result;
    }

    /** Ends the current pause if it is over, or the current platform call if it has timed out. */
    void tick(long nowNanos) {
        Optional<Runnable> due = Optional.empty();
        synchronized (this) {
            if (timeoutAction.isPresent() && nowNanos - timeoutAtNanos >= 0) {
                due = timeoutAction;
                timeoutAction = Optional.empty();
            }
        }
        due.ifPresent(Runnable::run);
    }

    private void proceed() {
        executeStep(() -> Optional.of(owner.proceed(timers.nanoTime(), RequestIds.next())));
    }

    /** Reports the end of a call or pause, unless it has already timed out, and continues. */
    private void onCallEnded(long number, Supplier<JournalOwnerStep> event) {
        boolean executed = executeStep(() -> endCall(number) ? Optional.of(event.get()) : Optional.empty());
        if (executed) {
            proceed();
        }
    }

    private boolean endCall(long number) {
        if (number != callNumber) {
            return false;
        }
        callNumber++;
        timeoutAction = Optional.empty();
        return true;
    }

    /**
     * Executes a step of the owner: starts its next call and completes the results that are certain. Returns false if
     * there was no step.
     */
    private boolean executeStep(Supplier<Optional<JournalOwnerStep>> event) {
        Map<CompletableFuture<ClaimResult>, ClaimResult> completions = new HashMap<>();
        JournalOwnerStep step;
        long number;
        synchronized (this) {
            Optional<JournalOwnerStep> next = event.get();
            if (next.isEmpty()) {
                return false;
            }
            step = next.get();
            owner = step.owner();
            step.results().forEach(result -> collect(result, completions));
            number = step.command().isPresent() ? ++callNumber : callNumber;
            step.command().ifPresent(command -> scheduleTimeout(command, number));
        }
        step.command().ifPresent(command -> execute(command, number));
        completions.forEach(CompletableFuture::complete);
        return true;
    }

    private void collect(
            JournalOwnerStep.OperationResult operationResult,
            Map<CompletableFuture<ClaimResult>, ClaimResult> completions) {
        CompletableFuture<ClaimResult> pending = pendingResults.remove(operationResult.ticket());
        if (pending != null) {
            completions.put(pending, operationResult.result());
        }
    }

    private void scheduleTimeout(JournalOwnerStep.Command command, long number) {
        boolean pause = command instanceof JournalOwnerStep.Pause;
        timeoutAtNanos =
                timers.nanoTime() + (pause ? ((JournalOwnerStep.Pause) command).delayNanos() : callTimeoutNanos);
        timeoutAction = Optional.of(() -> onCallEnded(number, () -> onTimeout(command)));
    }

    private JournalOwnerStep onTimeout(JournalOwnerStep.Command command) {
        if (command instanceof JournalOwnerStep.Pause) {
            return new JournalOwnerStep(owner.resumed(), List.of(), Optional.empty());
        }
        return command instanceof JournalOwnerStep.Read ? owner.readFailed() : owner.writeOutcomeUnknown();
    }

    private void execute(JournalOwnerStep.Command command, long number) {
        if (command instanceof JournalOwnerStep.Read) {
            metrics.recordRead();
            store.read(ObjectKinds.CLAIMS, objectName)
                    .subscribe()
                    .with(
                            object -> onCallEnded(number, () -> onRead(object)),
                            failure -> onCallEnded(number, () -> onReadFailed(failure)));
        } else if (command instanceof JournalOwnerStep.Write write) {
            metrics.recordWrite(write.journal().characters());
            send(write)
                    .subscribe()
                    .with(
                            object -> onCallEnded(number, () -> onWritten(object)),
                            failure -> onCallEnded(number, () -> onWriteFailed(failure)));
        }
    }

    private Uni<StoredObject> send(JournalOwnerStep.Write write) {
        StoredObject object = new StoredObject(
                ObjectKinds.CLAIMS, objectName, write.resourceVersion(), JournalCodec.write(write.journal()));
        return write.resourceVersion().isEmpty() ? store.create(object) : store.update(object);
    }

    private JournalOwnerStep onRead(StoredObject object) {
        return owner.readSucceeded(JournalCodec.read(object.spec()), object.resourceVersion(), timers.nanoTime());
    }

    private JournalOwnerStep onReadFailed(Throwable failure) {
        if (codeOf(failure) == ResultCode.NOT_FOUND) {
            return owner.readSucceeded(ClaimJournal.empty(), "", timers.nanoTime());
        }
        return owner.readFailed();
    }

    private JournalOwnerStep onWritten(StoredObject object) {
        return owner.writeSucceeded(object.resourceVersion(), timers.nanoTime());
    }

    private JournalOwnerStep onWriteFailed(Throwable failure) {
        return switch (codeOf(failure)) {
            case CONFLICT, NOT_FOUND -> owner.writeConflicted();
            case PLATFORM_UNAVAILABLE -> owner.writeFailed();
            default -> owner.writeOutcomeUnknown();
        };
    }

    private static ResultCode codeOf(Throwable failure) {
        return failure instanceof BaobabcartException exception ? exception.code() : ResultCode.INTERNAL;
    }
}
