package org.baobabcart.router.transport;

import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried, as hashes in a bounded amount of memory. An id that was added is
 * always found; another one is found rarely. Confined to its owner.
 */
final class CarriedIds {
    /** The number of requests after which a connection is replaced. */
    private static final int CAPACITY = 128;

    private static final int INITIAL_CAPACITY = 4;

    private int[] hashes = new int[INITIAL_CAPACITY];
    private int size;

    /** Returns whether a request with this id may be added: there is room, and the id was not added before. */
    boolean accepts(String id) {
        return size < CAPACITY && Arrays.stream(hashes, 0, size).noneMatch(hash -> hash == id.hashCode());
    }

    void add(String id) {
        if (size == hashes.length) {
            hashes = Arrays.copyOf(hashes, Math.min(CAPACITY, 2 * size));
        }
        hashes[size++] = id.hashCode();
    }
}
