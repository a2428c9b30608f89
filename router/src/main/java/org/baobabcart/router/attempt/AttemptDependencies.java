package org.baobabcart.router.attempt;

import org.baobabcart.router.exchange.DrainState;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * Dependencies shared by the attempts of all requests. Immutable; each component is thread-safe.
 *
 * @param views supplies the current view of the control state
 * @param dispatcher assigns slots at upstreams
 * @param upstreams the client that sends attempts
 * @param health tracks unreachable upstreams
 * @param crashGuard limits the crashes that one request can cause
 * @param drain tells which requests may still begin to run during a planned stop
 */
public record AttemptDependencies(
        TrafficViewSource views,
        Dispatcher dispatcher,
        UpstreamClient upstreams,
        UpstreamHealth health,
        CrashGuard crashGuard,
        DrainState drain) {}
