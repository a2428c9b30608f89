package org.baobabcart.router.claim;

import java.util.Optional;
import org.baobabcart.model.result.ResultCode;

/**
 * The answer to a claim. Immutable.
 *
 * @param kind whether to send, replay or refuse
 * @param answer the stored answer of a replay
 * @param refusal the code of a refusal
 */
public record ClaimDecision(Kind kind, Optional<StoredReply> answer, Optional<ResultCode> refusal) {
    /** What the traffic path does next. */
    public enum Kind {
        GRANTED,
        REPLAY,
        REFUSED
    }

    /** The attempt may be sent once. */
    public static ClaimDecision granted() {
        return new ClaimDecision(Kind.GRANTED, Optional.empty(), Optional.empty());
    }

    /** The call has finished before; its answer is sent again. */
    public static ClaimDecision replay(StoredReply answer) {
        return new ClaimDecision(Kind.REPLAY, Optional.of(answer), Optional.empty());
    }

    /** The attempt may not be sent. */
    public static ClaimDecision refused(ResultCode code) {
        return new ClaimDecision(Kind.REFUSED, Optional.empty(), Optional.of(code));
    }
}
