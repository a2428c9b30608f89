package org.baobabcart.router.claim;

import java.util.Optional;
import org.baobabcart.model.result.ResultCode;

/**
 * The result of a claim. Immutable.
 *
 * @param kind whether to send, replay or refuse the call
 * @param answer the stored answer to replay
 * @param refusal the code of a refusal
 */
public record ClaimDecision(Kind kind, Optional<StoredReply> answer, Optional<ResultCode> refusal) {
    /** How the traffic path continues. */
    public enum Kind {
        GRANTED,
        REPLAY,
        REFUSED
    }

    /** Allows the attempt to be sent once. */
    public static ClaimDecision granted() {
        return new ClaimDecision(Kind.GRANTED, Optional.empty(), Optional.empty());
    }

    /** Replays the stored answer of a call that has already finished. */
    public static ClaimDecision replay(StoredReply answer) {
        return new ClaimDecision(Kind.REPLAY, Optional.of(answer), Optional.empty());
    }

    /** Refuses the attempt. */
    public static ClaimDecision refused(ResultCode code) {
        return new ClaimDecision(Kind.REFUSED, Optional.empty(), Optional.of(code));
    }
}
