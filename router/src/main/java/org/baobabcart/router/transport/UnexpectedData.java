package org.baobabcart.router.transport;

/**
 * Bytes on a connection to a server that belong to no response. Immutable.
 *
 * @param server the address of the server
 * @param connection the connection on which they arrived
 * @param kind the position at which they arrived
 * @param bytes the number of bytes that were read together
 */
public record UnexpectedData(String server, ConnectionUse connection, Kind kind, int bytes) {
    /** The position of unexpected bytes between the responses of a connection. */
    public enum Kind {
        /** They followed a complete response and were read together with its end. */
        AFTER_RESPONSE("data followed a complete response"),
        /** They arrived while no request was in progress. */
        WITHOUT_REQUEST("data arrived while no request was in progress");

        private final String description;

        Kind(String description) {
            this.description = description;
        }

        /** Returns a description for logs. */
        public String description() {
            return description;
        }
    }
}
