package org.baobabcart.router.traffic;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.upstream.UpstreamRequest;

/**
 * How the attempts of one step are made. Immutable.
 *
 * @param pool the pool of upstreams
 * @param repeatable whether the request may be sent more than once
 * @param size the maximum number of tokens in the response; zero for services
 * @param affinity a key shared by similar requests
 * @param fingerprint identifies the prompt and its parts; empty for services
 * @param attemptIds supplies the id of the next attempt
 * @param request creates the upstream request for an attempt id
 * @param gate the last check before the first byte is sent
 */
record AttemptPlan(
        Pool pool,
        boolean repeatable,
        int size,
        String affinity,
        Optional<RequestFingerprint> fingerprint,
        Supplier<String> attemptIds,
        Function<String, UpstreamRequest> request,
        DispatchGate gate) {}
