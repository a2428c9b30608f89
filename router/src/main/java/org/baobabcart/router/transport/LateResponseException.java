package org.baobabcart.router.transport;

/** Thrown when a server has accepted a connection and has not sent a complete response within the timeout. Immutable. */
public final class LateResponseException extends RuntimeException {
    LateResponseException() {
        super("no complete response within the timeout", null, false, false);
    }
}
