package org.baobabcart.policy.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A state transition of a {@link JournalOwner}. Immutable.
 *
 * @param owner the state after the event
 * @param results the results of operations that have become final
 * @param command the next command for the platform or the timer, if any
 */
public record JournalOwnerStep(JournalOwner owner, List<OperationResult> results, Optional<Command> command) {
    /** Copies the list. */
    public JournalOwnerStep {
        results = List.copyOf(results);
    }

    /**
     * The result of an operation. Immutable.
     *
     * @param ticket the operation's ticket
     * @param result the result
     */
    public record OperationResult(long ticket, ClaimResult result) {}

    /** A command for the caller, who has to report its result to the owner. */
    public sealed interface Command {}

    /** Read the journal. Immutable. */
    public record Read() implements Command {}

    /**
     * Write the journal if its version has not changed. Immutable.
     *
     * @param journal the content
     * @param resourceVersion the version that was read, empty to create the object
     */
    public record Write(ClaimJournal journal, String resourceVersion) implements Command {}

    /**
     * Call {@link JournalOwner#resumed} after a delay. Immutable.
     *
     * @param delayNanos the delay in nanoseconds
     */
    public record Pause(long delayNanos) implements Command {}

    static JournalOwnerStep of(JournalOwner owner, List<OperationResult> results) {
        return new JournalOwnerStep(owner, results, Optional.empty());
    }

    static JournalOwnerStep of(JournalOwner owner, List<OperationResult> results, Command command) {
        return new JournalOwnerStep(owner, results, Optional.of(command));
    }

    static List<OperationResult> operationResults(List<PendingOperation> batch, List<ClaimResult> results) {
        List<OperationResult> operationResults = new ArrayList<>();
        for (int index = 0; index < batch.size(); index++) {
            operationResults.add(new OperationResult(batch.get(index).ticket(), results.get(index)));
        }
        return operationResults;
    }
}
