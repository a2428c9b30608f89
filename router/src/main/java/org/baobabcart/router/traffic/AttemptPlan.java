package org.baobabcart.router.traffic;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.upstream.UpstreamRequest;

/**
 * How the attempts of one step are made. Immutable.
 *
 * @param pool the upstreams
 * @param repeatable whether the work may be sent more than once
 * @param size the most tokens of the answer; zero for services
 * @param affinity a text that like work shares
 * @param fingerprint a digest that is the same for each sending of the same prompt; empty for services
 * @param attemptIds gives the id of the next attempt
 * @param request makes the request of an attempt
 * @param gate the last check before the first byte
 */
record AttemptPlan(
        Pool pool,
        boolean repeatable,
        int size,
        String affinity,
        Optional<String> fingerprint,
        Supplier<String> attemptIds,
        Function<String, UpstreamRequest> request,
        DispatchGate gate) {}
