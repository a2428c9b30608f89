package org.baobabcart.router.cascade;

/**
 * Tells kinds of work apart by what a request shows without reading its meaning: who asks, and how long the prompt is.
 * Stateless.
 */
public final class RequestClassifier {
    private static final int SHORTEST_BITS = 6;
    private static final int LONGEST_BITS = 16;

    private RequestClassifier() {}

    /**
     * The kind of a request.
     *
     * @param workspace the workspace's name
     * @param path the kind of call, such as {@code chat}
     * @param promptCharacters the length of the prompt
     */
    public static String of(String workspace, String path, int promptCharacters) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, promptCharacters));
        int bucket = Math.max(SHORTEST_BITS, Math.min(LONGEST_BITS, bits));
        return workspace + "/" + path + "/" + bucket;
    }
}
