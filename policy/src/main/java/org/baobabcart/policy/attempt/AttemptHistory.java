package org.baobabcart.policy.attempt;

import org.baobabcart.model.gateway.RepeatRule;
import org.baobabcart.model.result.Ran;

/**
 * What is known of the attempts of one request, and what follows from it. Immutable.
 *
 * <p>Before its first byte leaves, an attempt has surely not run. From then on it may have run, until the upstream says that
 * it has not; nothing takes that back from an attempt that ended in doubt.
 *
 * @param repeat what may be repeated
 * @param sent the attempts that were sent
 * @param doubtful the attempts that ended and may have run
 * @param open the attempts that were sent and have not ended, 0 or 1
 */
public record AttemptHistory(RepeatRule repeat, int sent, int doubtful, int open) {
    /** A request of which nothing was sent. */
    public static AttemptHistory of(RepeatRule repeat) {
        return new AttemptHistory(repeat, 0, 0, 0);
    }

    /** After the first byte of an attempt was handed to a connection. */
    public AttemptHistory withSend() {
        if (!maySend()) {
            throw new IllegalStateException("an attempt may not follow: " + this);
        }
        return new AttemptHistory(repeat, sent + 1, doubtful, 1);
    }

    /** After the open attempt ended without its whole answer. */
    public AttemptHistory withEnd(Ran ran) {
        return new AttemptHistory(repeat, sent, doubtful + (ran == Ran.NO ? 0 : open), 0);
    }

    /** Whether an upstream may have run the request. */
    public boolean mayHaveRun() {
        return doubtful + open > 0;
    }

    /** Whether another attempt may be sent now. */
    public boolean maySend() {
        return open == 0 && (repeat.repeatable() || !mayHaveRun());
    }

    /** Whether a statement that the request has not run, and will not run, is true. */
    public boolean mayStateNotRun() {
        return !mayHaveRun();
    }
}
