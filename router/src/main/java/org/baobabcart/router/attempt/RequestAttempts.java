package org.baobabcart.router.attempt;

import java.util.HashSet;
import java.util.Set;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.result.Ran;
import org.baobabcart.policy.attempt.AttemptHistory;

/**
 * The attempts of one request so far. Immutable.
 *
 * @param tried the number of attempts that were assigned a slot, whether sent or not
 * @param history counts the attempts that were sent and those that may have run
 * @param failedUpstreams the names of upstreams at which an attempt failed
 */
public record RequestAttempts(int tried, AttemptHistory history, Set<String> failedUpstreams) {
    /** Copies the set. */
    public RequestAttempts {
        failedUpstreams = Set.copyOf(failedUpstreams);
    }

    static RequestAttempts none(RetryPolicy repeat) {
        return new RequestAttempts(0, AttemptHistory.of(repeat), Set.of());
    }

    RequestAttempts withTry() {
        return new RequestAttempts(tried + 1, history, failedUpstreams);
    }

    RequestAttempts withSend() {
        return new RequestAttempts(tried, history.withSend(), failedUpstreams);
    }

    RequestAttempts withEnd(Ran ran) {
        return new RequestAttempts(tried, history.withEnd(ran), failedUpstreams);
    }

    RequestAttempts withFailedUpstream(String name) {
        Set<String> names = new HashSet<>(failedUpstreams);
        names.add(name);
        return new RequestAttempts(tried, history, names);
    }
}
