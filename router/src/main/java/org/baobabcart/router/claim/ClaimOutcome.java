package org.baobabcart.router.claim;

import java.util.Optional;

/**
 * The outcome of a granted attempt. Immutable.
 *
 * @param kind the kind of outcome
 * @param answer the answer of a finished call
 */
public record ClaimOutcome(Kind kind, Optional<StoredReply> answer) {
    /** Kinds of outcomes. */
    public enum Kind {
        /** The upstream answered. */
        FINISHED,
        /** No upstream received any byte; the key may be claimed again. */
        NOT_RUN,
        /** An upstream may have received the call. */
        UNKNOWN
    }

    /** The upstream answered. */
    public static ClaimOutcome finished(StoredReply answer) {
        return new ClaimOutcome(Kind.FINISHED, Optional.of(answer));
    }

    /** No upstream received any byte. */
    public static ClaimOutcome notRun() {
        return new ClaimOutcome(Kind.NOT_RUN, Optional.empty());
    }

    /** An upstream may have received the call. */
    public static ClaimOutcome unknown() {
        return new ClaimOutcome(Kind.UNKNOWN, Optional.empty());
    }
}
