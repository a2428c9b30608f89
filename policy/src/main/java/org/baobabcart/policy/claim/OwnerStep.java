package org.baobabcart.policy.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What follows from an event at an owner. Immutable.
 *
 * @param owner the owner after the event
 * @param answers results of operations that are now certain
 * @param command what to ask of the platform or the timer next, if anything
 */
public record OwnerStep(JournalOwner owner, List<Answer> answers, Optional<Command> command) {
    /** Copies the list. */
    public OwnerStep {
        answers = List.copyOf(answers);
    }

    /**
     * The result of an operation. Immutable.
     *
     * @param ticket the operation's ticket
     * @param result its result
     */
    public record Answer(long ticket, ClaimResult result) {}

    /** What an owner wants done; its result is to be reported to the owner. */
    public sealed interface Command {}

    /** Read the journal. Immutable. */
    public record Read() implements Command {}

    /**
     * Write the journal if its version is still the given one. Immutable.
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

    static OwnerStep of(JournalOwner owner, List<Answer> answers) {
        return new OwnerStep(owner, answers, Optional.empty());
    }

    static OwnerStep of(JournalOwner owner, List<Answer> answers, Command command) {
        return new OwnerStep(owner, answers, Optional.of(command));
    }

    static List<Answer> answers(List<PendingOperation> batch, List<ClaimResult> results) {
        List<Answer> answers = new ArrayList<>();
        for (int index = 0; index < batch.size(); index++) {
            answers.add(new Answer(batch.get(index).ticket(), results.get(index)));
        }
        return answers;
    }
}
