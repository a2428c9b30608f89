package org.baobabcart.policy.document;

/** Outcome of a publication, determined by reading the document back. */
public enum PublishOutcome {
    /** The platform has stored the publisher's document. */
    ACCEPTED,
    /** The platform has stored another document of this generation, and never accepted the publisher's one. */
    LOST,
    /** The platform has stored a later document; whether it accepted the publisher's one before is unknown. */
    SUPERSEDED,
    /** The platform still has the document that was read before; the same write may be sent again. */
    UNCHANGED;

    /**
     * Determines the outcome of a write whose response was lost or that conflicted.
     *
     * <p>Repeating the same write after {@link #UNCHANGED} is safe: both writes are conditional on the version that
     * was read, so at most one of them takes effect, and both carry the same id.
     *
     * @param writtenGeneration the generation that the publisher tried to write
     * @param writtenId the publisher's id of the write
     * @param foundGeneration the generation that was read back
     * @param foundId the id that was read back
     */
    public static PublishOutcome determine(
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
