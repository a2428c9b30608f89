package org.baobabcart.router.attempt;

import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * What the attempts of all requests share. Immutable; each part is thread-safe.
 *
 * @param views what control knows
 * @param dispatcher gives slots at upstreams
 * @param upstreams sends attempts
 * @param health upstreams to pass over
 * @param crashes bounds the crashes that one request causes
 */
public record AttemptDependencies(
        TrafficViewSource views,
        Dispatcher dispatcher,
        UpstreamClient upstreams,
        UpstreamHealth health,
        CrashGuard crashes) {}
