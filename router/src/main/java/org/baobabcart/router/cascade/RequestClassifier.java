package org.baobabcart.router.cascade;

/**
 * Classifies requests by workspace, path and length of the prompt, without interpreting the content. Stateless.
 */
public final class RequestClassifier {
    private static final int MIN_BITS = 6;
    private static final int MAX_BITS = 16;

    private RequestClassifier() {}

    /**
     * Returns the class of a request.
     *
     * @param workspace the workspace's name
     * @param path the type of call, such as {@code chat}
     * @param promptCharacters the length of the prompt in characters
     */
    public static String of(String workspace, String path, int promptCharacters) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, promptCharacters));
        int bucket = Math.max(MIN_BITS, Math.min(MAX_BITS, bits));
        return workspace + "/" + path + "/" + bucket;
    }
}
