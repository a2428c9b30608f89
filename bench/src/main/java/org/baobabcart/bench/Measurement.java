package org.baobabcart.bench;

/** One measurement that {@code bench/run} knows by name. Implementations are stateless. */
interface Measurement {
    /** The name on the command line. */
    String name();

    /** One line that says what is measured. */
    String help();

    /** Runs it; every process that it starts has ended when it returns. */
    MeasurementResult run(long seed);
}
