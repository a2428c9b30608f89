package org.baobabcart.router.relay;

import java.util.function.Consumer;

/** Connects to relays. */
interface RelayNetwork {
    /**
     * Opens a connection. The listener is called on the control thread, also if no connection could be opened.
     *
     * @param address {@code host:port} of the relay
     */
    Connection connect(String address, Listener listener);

    /**
     * Tells whether a router answers at all.
     *
     * @param onResult called on the control thread
     */
    void probe(String address, Consumer<Boolean> onResult);

    /** A connection to a relay. */
    interface Connection {
        /** Closes the connection; the listener may still be called. */
        void close();
    }

    /** Receives what a relay sends. */
    interface Listener {
        /** Called with a line without its end. */
        void onLine(byte[] line);

        /**
         * Called once when the connection has ended or could not be opened.
         *
         * @param hasAnswered whether a router has answered and turned this one away
         */
        void onClosed(String cause, boolean hasAnswered);
    }
}
