package org.baobabcart.cli.demo;

import org.baobabcart.cli.output.Output;

/** Prints what happened and what held, and counts what did not. Thread-safe. */
final class DemoReport {
    private final Output output;
    private int held;
    private int failed;

    private DemoReport(Output output) {
        this.output = output;
    }

    static DemoReport to(Output output) {
        return new DemoReport(output);
    }

    /** Begins a part of the report. */
    void part(String title) {
        output.line("");
        output.line(title);
    }

    /** Tells what happened. */
    void event(String text) {
        output.line("       " + text);
    }

    /** Tells whether something held. */
    synchronized void check(boolean holds, String claim, String evidence) {
        if (holds) {
            held++;
        } else {
            failed++;
        }
        output.line((holds ? "  held " : "FAILED ") + claim + " (" + evidence + ")");
    }

    /** Prints the sum; true if all held. */
    synchronized boolean finish() {
        output.line("");
        output.line(held + " held, " + failed + " failed");
        return failed == 0 && held > 0;
    }
}
