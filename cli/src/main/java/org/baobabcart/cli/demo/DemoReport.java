package org.baobabcart.cli.demo;

import org.baobabcart.cli.output.Output;

/** Prints the events and checks of the demo and counts passed and failed checks. Thread-safe. */
final class DemoReport {
    private final Output output;
    private int passedCount;
    private int failedCount;

    private DemoReport(Output output) {
        this.output = output;
    }

    static DemoReport to(Output output) {
        return new DemoReport(output);
    }

    /** Starts a section of the report. */
    void section(String title) {
        output.line("");
        output.line(title);
    }

    /** Prints an event. */
    void event(String text) {
        output.line("       " + text);
    }

    /** Prints and counts the result of a check. */
    synchronized void check(boolean passed, String claim, String evidence) {
        if (passed) {
            passedCount++;
        } else {
            failedCount++;
        }
        output.line((passed ? "  held " : "FAILED ") + claim + " (" + evidence + ")");
    }

    /** Prints the totals and returns whether all checks passed. */
    synchronized boolean finish() {
        output.line("");
        output.line(passedCount + " held, " + failedCount + " failed");
        return failedCount == 0 && passedCount > 0;
    }
}
