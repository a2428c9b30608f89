package org.baobabcart.standins.engine;

import org.baobabcart.standins.base.RunLog;

/** One request in the batch or the waiting line. Confined to the event loop. */
final class Generation {
    private final CompletionRequest prompt;
    private final RunLog.Run run;
    private final CompletionWriter writer;
    private final int priority;
    private int prefillSteps;
    private int produced;

    Generation(CompletionRequest prompt, RunLog.Run run, CompletionWriter writer, int priority, int prefillSteps) {
        this.prompt = prompt;
        this.run = run;
        this.writer = writer;
        this.priority = priority;
        this.prefillSteps = prefillSteps;
    }

    /** The priority, zero being the most urgent. */
    int priority() {
        return priority;
    }

    /** Takes part in one step of the batch; true when the answer is complete. */
    boolean step() {
        if (prefillSteps > 0) {
            prefillSteps--;
            return false;
        }
        produced++;
        writer.token(produced, prompt.tokens());
        return produced >= prompt.tokens();
    }

    /** Ends the work in good order. */
    void finish() {
        run.finish();
        writer.finish();
    }

    /** Ends the work with a failure. */
    void fail() {
        writer.fail();
    }
}
