package org.baobabcart.router.traffic;

/** The last check before the first byte of an attempt is sent. Called on the event loop of the caller's connection. */
interface DispatchGate {
    /** Throws if the attempt must not be sent. */
    void pass();

    /** Called when an attempt that passed the gate is known not to have run. */
    default void notRun() {}

    /** Returns a gate that lets every attempt pass. */
    static DispatchGate open() {
        return () -> {};
    }
}
