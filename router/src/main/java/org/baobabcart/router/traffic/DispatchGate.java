package org.baobabcart.router.traffic;

/** The last check of an attempt before its first byte is sent. Called on the event loop of the caller's connection. */
interface DispatchGate {
    /** Throws where nothing may be sent. */
    void pass();

    /** Called after an attempt that had passed is known not to have run. */
    default void returned() {}

    /** A gate that lets every attempt pass. */
    static DispatchGate open() {
        return () -> {};
    }
}
