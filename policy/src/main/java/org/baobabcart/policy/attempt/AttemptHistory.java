package org.baobabcart.policy.attempt;

import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.result.Ran;

/**
 * Counts the attempts of one request and derives whether the request may have run. Immutable.
 *
 * <p>Before its first byte is sent, an attempt has certainly not run. From then on it may have run, until the upstream
 * reports that it has not. An attempt that ended without such a report remains uncertain for good.
 *
 * @param repeat the rule by which the request may be repeated
 * @param sent the number of attempts that were sent
 * @param uncertain the number of attempts that ended and may have run
 * @param open the number of attempts that were sent and have not ended, 0 or 1
 */
public record AttemptHistory(RetryPolicy repeat, int sent, int uncertain, int open) {
    /** Returns the history of a request without attempts. */
    public static AttemptHistory of(RetryPolicy repeat) {
        return new AttemptHistory(repeat, 0, 0, 0);
    }

    /** Returns this history after the first byte of an attempt was handed to a connection. */
    public AttemptHistory withSend() {
        if (!maySend()) {
            throw new IllegalStateException("another attempt is not allowed: " + this);
        }
        return new AttemptHistory(repeat, sent + 1, uncertain, 1);
    }

    /** Returns this history after the open attempt ended without a complete response. */
    public AttemptHistory withEnd(Ran ran) {
        return new AttemptHistory(repeat, sent, uncertain + (ran == Ran.NO ? 0 : open), 0);
    }

    /** Returns whether an upstream may have run the request. */
    public boolean mayHaveRun() {
        return uncertain + open > 0;
    }

    /** Returns whether another attempt may be sent now. */
    public boolean maySend() {
        return open == 0 && (repeat.repeatable() || !mayHaveRun());
    }

    /** Returns whether the router may report that the request has not run and will not run. */
    public boolean mayReportNotRun() {
        return !mayHaveRun();
    }
}
