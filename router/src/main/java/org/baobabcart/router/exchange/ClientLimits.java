package org.baobabcart.router.exchange;

/**
 * What clients may take of a process together. Immutable.
 *
 * @param bodyBytes the memory for bodies of requests that are held or being read
 * @param headBytes the memory for parsed heads of requests
 * @param unparsedBytes the number of bytes that have arrived and are not yet parsed
 * @param connections the number of connections of clients
 */
public record ClientLimits(long bodyBytes, long headBytes, long unparsedBytes, int connections) {
    /** A body is copied once more when it is sent. */
    private static final int BODY_PARTS = 5;

    private static final int HEAD_PARTS = 8;
    /** A Java virtual machine needs about as much memory outside of its heap. */
    private static final int MACHINE_PARTS_PER_HEAP = 2;
    /** The objects, timers and network buffers of one connection. */
    private static final long CONNECTION_BYTES = 16 * 1024;
    /** Archives, logs and sockets that listen. */
    private static final int OTHER_DESCRIPTORS = 200;
    /** The other half is for connections to upstreams, of which a running request needs one. */
    private static final int PARTS_OF_DESCRIPTORS = 2;

    /**
     * Returns the limits of a process.
     *
     * @param memoryBytes the memory of its machine; zero if it is not known
     * @param descriptors the number of file descriptors that it may open; zero if it is not known
     */
    public static ClientLimits of(long memoryBytes, int descriptors) {
        long heap = Runtime.getRuntime().maxMemory();
        long base = memoryBytes == 0 ? heap : Math.min(heap, memoryBytes / MACHINE_PARTS_PER_HEAP);
        long byMemory = Math.min(Integer.MAX_VALUE, base / CONNECTION_BYTES);
        long byDescriptors = descriptors == 0
                ? byMemory
                : Math.max(descriptors / 4, (descriptors - OTHER_DESCRIPTORS) / PARTS_OF_DESCRIPTORS);
        return new ClientLimits(base / BODY_PARTS, base / HEAD_PARTS, base / HEAD_PARTS, (int)
                Math.max(1, Math.min(byMemory, byDescriptors)));
    }

    /** Returns the limits that follow from the maximum heap alone. */
    public static ClientLimits defaults() {
        return of(0, 0);
    }

    /** Returns limits with the connections of one of several event loops. */
    public ClientLimits dividedAmong(int eventLoops) {
        return new ClientLimits(bodyBytes, headBytes, unparsedBytes, Math.max(1, connections / eventLoops));
    }
}
