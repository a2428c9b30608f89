package org.baobabcart.router.attempt;

import java.util.HashSet;
import java.util.Set;
import org.baobabcart.model.gateway.RepeatRule;
import org.baobabcart.model.result.Ran;
import org.baobabcart.policy.attempt.AttemptHistory;

/**
 * The attempts of one request so far. Immutable.
 *
 * @param tried the attempts that were given a slot, sent or not
 * @param ledger what was sent, and what may have run
 * @param failedUpstreams the names of upstreams at which an attempt failed
 */
public record Attempts(int tried, AttemptHistory ledger, Set<String> failedUpstreams) {
    /** Copies the set. */
    public Attempts {
        failedUpstreams = Set.copyOf(failedUpstreams);
    }

    static Attempts none(RepeatRule repeat) {
        return new Attempts(0, AttemptHistory.of(repeat), Set.of());
    }

    Attempts withTry() {
        return new Attempts(tried + 1, ledger, failedUpstreams);
    }

    Attempts withSend() {
        return new Attempts(tried, ledger.withSend(), failedUpstreams);
    }

    Attempts withEnd(Ran ran) {
        return new Attempts(tried, ledger.withEnd(ran), failedUpstreams);
    }

    Attempts withFailedUpstream(String name) {
        Set<String> names = new HashSet<>(failedUpstreams);
        names.add(name);
        return new Attempts(tried, ledger, names);
    }
}
