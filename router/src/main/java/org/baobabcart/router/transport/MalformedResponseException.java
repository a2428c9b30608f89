package org.baobabcart.router.transport;

/** Thrown when bytes on a connection are not those of a single response to the request in progress. Immutable. */
public final class MalformedResponseException extends RuntimeException {
    MalformedResponseException(String violation) {
        super(violation, null, false, false);
    }
}
