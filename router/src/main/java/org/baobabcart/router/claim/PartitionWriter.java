package org.baobabcart.router.claim;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.claim.ClaimJournal;
import org.baobabcart.policy.claim.ClaimOperation;
import org.baobabcart.policy.claim.ClaimResult;
import org.baobabcart.policy.claim.JournalOwner;
import org.baobabcart.policy.claim.OwnerStep;
import org.baobabcart.policy.claim.PendingOperation;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Carries out what a {@link JournalOwner} decides for one partition. Thread-safe; calls to the platform and the
 * completion of results happen outside the lock.
 */
final class PartitionWriter {
    private final String objectName;
    private final ObjectStore store;
    private final TimerService timers;
    private final ClaimMetrics metrics;
    private final long callBoundNanos;

    private final Map<Long, CompletableFuture<ClaimResult>> waiting = new HashMap<>();
    private JournalOwner owner = JournalOwner.create();
    private long nextTicket;
    private long callNumber;
    private Optional<Runnable> whenOverdue = Optional.empty();
    private long overdueNanos;

    PartitionWriter(
            String objectName, ObjectStore store, TimerService timers, ClaimMetrics metrics, ClaimSettings settings) {
        this.objectName = objectName;
        this.store = store;
        this.timers = timers;
        this.metrics = metrics;
        this.callBoundNanos = settings.callBound().toNanos();
    }

    /** Applies an operation; completes with its result when that is certain, and never fails. */
    CompletableFuture<ClaimResult> submit(ClaimOperation operation, long deadlineNanos) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        synchronized (this) {
            long ticket = nextTicket++;
            waiting.put(ticket, result);
            owner = owner.submit(new PendingOperation(ticket, operation, timers.nanoTime(), deadlineNanos));
        }
        proceed();
        return result;
    }

    /** Ends pauses that are over and gives up calls that take too long. */
    void tick(long nowNanos) {
        Optional<Runnable> due = Optional.empty();
        synchronized (this) {
            if (whenOverdue.isPresent() && nowNanos - overdueNanos >= 0) {
                due = whenOverdue;
                whenOverdue = Optional.empty();
            }
        }
        due.ifPresent(Runnable::run);
    }

    private void proceed() {
        advance(() -> Optional.of(owner.proceed(timers.nanoTime(), RequestIds.next())));
    }

    /** Reports the end of a call or pause, unless it was given up before, and goes on. */
    private void ended(long number, Supplier<OwnerStep> event) {
        boolean taken = advance(() -> endCall(number) ? Optional.of(event.get()) : Optional.empty());
        if (taken) {
            proceed();
        }
    }

    private boolean endCall(long number) {
        if (number != callNumber) {
            return false;
        }
        callNumber++;
        whenOverdue = Optional.empty();
        return true;
    }

    /** Takes a step, starts the next call and tells what is certain; false where there was no step to take. */
    private boolean advance(Supplier<Optional<OwnerStep>> event) {
        Map<CompletableFuture<ClaimResult>, ClaimResult> certain = new HashMap<>();
        OwnerStep step;
        long number;
        synchronized (this) {
            Optional<OwnerStep> taken = event.get();
            if (taken.isEmpty()) {
                return false;
            }
            step = taken.get();
            owner = step.owner();
            step.results().forEach(result -> take(result, certain));
            number = step.command().isPresent() ? ++callNumber : callNumber;
            step.command().ifPresent(command -> expect(command, number));
        }
        step.command().ifPresent(command -> execute(command, number));
        certain.forEach(CompletableFuture::complete);
        return true;
    }

    private void take(
            OwnerStep.OperationResult operationResult, Map<CompletableFuture<ClaimResult>, ClaimResult> certain) {
        CompletableFuture<ClaimResult> waiter = waiting.remove(operationResult.ticket());
        if (waiter != null) {
            certain.put(waiter, operationResult.result());
        }
    }

    private void expect(OwnerStep.Command command, long number) {
        boolean pause = command instanceof OwnerStep.Pause;
        overdueNanos = timers.nanoTime() + (pause ? ((OwnerStep.Pause) command).delayNanos() : callBoundNanos);
        whenOverdue = Optional.of(() -> ended(number, () -> overdue(command)));
    }

    private OwnerStep overdue(OwnerStep.Command command) {
        if (command instanceof OwnerStep.Pause) {
            return new OwnerStep(owner.resumed(), List.of(), Optional.empty());
        }
        return command instanceof OwnerStep.Read ? owner.readFailed() : owner.writeOutcomeUnknown();
    }

    private void execute(OwnerStep.Command command, long number) {
        if (command instanceof OwnerStep.Read) {
            metrics.read();
            store.read(Kinds.CLAIMS, objectName)
                    .subscribe()
                    .with(
                            object -> ended(number, () -> readAnswered(object)),
                            failure -> ended(number, () -> readFailed(failure)));
        } else if (command instanceof OwnerStep.Write write) {
            metrics.written(write.journal().characters());
            send(write)
                    .subscribe()
                    .with(
                            object -> ended(number, () -> writeAnswered(object)),
                            failure -> ended(number, () -> writeFailed(failure)));
        }
    }

    private Uni<StoredObject> send(OwnerStep.Write write) {
        StoredObject object = new StoredObject(
                Kinds.CLAIMS, objectName, write.resourceVersion(), JournalCodec.write(write.journal()));
        return write.resourceVersion().isEmpty() ? store.create(object) : store.update(object);
    }

    private OwnerStep readAnswered(StoredObject object) {
        return owner.readSucceeded(JournalCodec.read(object.spec()), object.resourceVersion(), timers.nanoTime());
    }

    private OwnerStep readFailed(Throwable failure) {
        if (codeOf(failure) == ResultCode.NOT_FOUND) {
            return owner.readSucceeded(ClaimJournal.empty(), "", timers.nanoTime());
        }
        return owner.readFailed();
    }

    private OwnerStep writeAnswered(StoredObject object) {
        return owner.writeSucceeded(object.resourceVersion(), timers.nanoTime());
    }

    private OwnerStep writeFailed(Throwable failure) {
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
