package org.baobabcart.policy.document;

/** What a publisher knows after it has read back the document. */
public enum PublishOutcome {
    /** The publisher's own document stands in the platform. */
    ACCEPTED,
    /** Another document stands there, and the publisher's own one was never accepted. */
    LOST,
    /** A later document stands there; whether the publisher's own one stood there before is not known. */
    SUPERSEDED,
    /** The document that was read before still stands there; the same write may be sent again. */
    UNCHANGED;

    /**
     * Settles a write whose answer was lost or that met a conflict.
     *
     * <p>A repeat of the same write is safe after {@link #UNCHANGED}: both are conditional on the version that was
     * read, so at most one of them takes effect, and both carry the same id.
     *
     * @param writtenGeneration the generation that the publisher tried to write
     * @param writtenId the publisher's id of the attempt
     * @param foundGeneration the generation that was read back
     * @param foundId the id that was read back
     */
    public static PublishOutcome settle(
            long writtenGeneration, String writtenId, long foundGeneration, String foundId) {
        if (foundId.equals(writtenId)) {
            return ACCEPTED;
        }
        if (foundGeneration < writtenGeneration) {
            return UNCHANGED;
        }
        return foundGeneration == writtenGeneration ? LOST : SUPERSEDED;
    }
}
