package org.baobabcart.standins.engine;

import org.baobabcart.standins.base.RunLog;

/** A generation request that runs in the batch or waits for it. Confined to the event loop. */
final class Generation {
    private final CompletionRequest request;
    private final RunLog.Run run;
    private final CompletionWriter writer;
    private final int priority;
    private int prefillSteps;
    private int generatedTokens;

    Generation(CompletionRequest request, RunLog.Run run, CompletionWriter writer, int priority, int prefillSteps) {
        this.request = request;
        this.run = run;
        this.writer = writer;
        this.priority = priority;
        this.prefillSteps = prefillSteps;
    }

    /** Returns the priority; zero is the most urgent. */
    int priority() {
        return priority;
    }

    /** Runs one step of the batch for this request. Returns true when the response is complete. */
    boolean step() {
        if (prefillSteps > 0) {
            prefillSteps--;
            return false;
        }
        generatedTokens++;
        writer.writeToken(generatedTokens, request.tokens());
        return generatedTokens >= request.tokens();
    }

    /** Marks the run as finished and completes the response. */
    void finish() {
        run.finish();
        writer.finish();
    }

    /** Fails the response. */
    void fail() {
        writer.fail();
    }
}
