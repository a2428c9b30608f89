package org.baobabcart.model.request;

import java.util.UUID;

/** Makes ids of requests, attempts and publishes. Thread-safe. */
public final class RequestIds {
    private RequestIds() {}

    /** An id that no other call returns. */
    public static String next() {
        return UUID.randomUUID().toString().replace("-", "");
    }
}
