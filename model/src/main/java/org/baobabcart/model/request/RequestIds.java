package org.baobabcart.model.request;

import java.util.UUID;

/** Generates ids of requests, attempts and writes. Thread-safe. */
public final class RequestIds {
    private RequestIds() {}

    /** Returns a new unique id. */
    public static String next() {
        return UUID.randomUUID().toString().replace("-", "");
    }
}
