package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.view.TrafficView;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * Tracks upstreams that this router suspects, found unreachable or that declined requests. Only those that it suspects
 * or found unreachable are probed, on new connections, until they respond. Upstreams in evacuated data centres are not
 * probed; what is known of them is kept until their data centre is taken back. Thread-safe.
 *
 * <p>A suspected upstream becomes unreachable when a connection or a health check fails. A broken connection or a late
 * response alone does not show that other requests cannot be served.
 */
public final class UpstreamHealth {
    private static final Duration PROBE_PERIOD = Duration.ofMillis(500);
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_UNAVAILABLE_PERIOD = Duration.ofSeconds(5);

    private final Vertx vertx;
    private final UpstreamClient client;
    private final TrafficViewSource views;
    private final Timeline timeline;
    private final Map<String, Suspicion> suspicions = new ConcurrentHashMap<>();
    private final Map<String, Long> unavailableUntil = new ConcurrentHashMap<>();
    private volatile Runnable unreachableListener = () -> {};

    private UpstreamHealth(Vertx vertx, UpstreamClient client, TrafficViewSource views, Timeline timeline) {
        this.vertx = vertx;
        this.client = client;
        this.views = views;
        this.timeline = timeline;
    }

    /** Creates health tracking in which all upstreams are healthy. */
    public static UpstreamHealth create(
            Vertx vertx, UpstreamClient client, TrafficViewSource views, Timeline timeline) {
        return new UpstreamHealth(vertx, client, views, timeline);
    }

    /** Sets an action that is called on any thread whenever a connection to an upstream or its health check has failed. */
    public void onUnreachable(Runnable listener) {
        unreachableListener = listener;
    }

    /** Returns whether the upstream should receive requests only if no other can. */
    public boolean isDeprioritized(String upstream) {
        if (isSuspected(upstream)) {
            return true;
        }
        Long until = unavailableUntil.get(upstream);
        if (until == null) {
            return false;
        }
        if (until - System.nanoTime() > 0) {
            return true;
        }
        unavailableUntil.remove(upstream, until);
        return false;
    }

    /** Returns whether the upstream accepts requests, as far as its notices to this router say. */
    public boolean acceptsRequests(VirtualMachine upstream) {
        return client.notices().acceptsRequests(upstream, System.nanoTime());
    }

    /** Returns whether the upstream limits the rate of the requests of all routers. */
    public boolean isRateLimited(VirtualMachine upstream) {
        return client.notices().rateLimits().isLimited(upstream);
    }

    /** Returns whether the upstream is cold, as far as this router knows. */
    public boolean isCold(VirtualMachine upstream, long nowNanos) {
        return coldUpstreams().isCold(upstream, nowNanos);
    }

    /**
     * Counts a request that is about to be sent; returns whether the rate limit of the upstream allows it and, while the upstream is cold, this
     * router's part of what it bears.
     */
    public boolean tryTakePermit(VirtualMachine upstream) {
        long now = System.nanoTime();
        return coldUpstreams().tryTake(upstream, now)
                && client.notices().rateLimits().tryTake(upstream, now);
    }

    /** Counts a request that is sent now against the limits that its slot does not cover; returns whether it may be sent. */
    public boolean tryUse(Slot slot) {
        long now = System.nanoTime();
        VirtualMachine upstream = slot.upstream();
        OptionalLong granted = slot.coldGrantNanos();
        boolean isBorne = granted.isPresent()
                ? coldUpstreams().confirm(upstream, granted.getAsLong(), now)
                : coldUpstreams().tryTake(upstream, now);
        return isBorne && (slot.isRateLimited() || client.notices().rateLimits().tryTake(upstream, now));
    }

    private ColdUpstreams coldUpstreams() {
        return client.notices().coldUpstreams();
    }

    /** Returns the upstreams that accept requests, as far as their notices to this router say. */
    public List<VirtualMachine> acceptingRequests(List<VirtualMachine> upstreams) {
        return client.notices().acceptingRequests(upstreams, System.nanoTime());
    }

    /** Returns when the first of the upstreams accepts requests again; empty if all of them are leaving. */
    public OptionalLong earliestAvailability(Collection<VirtualMachine> upstreams) {
        long now = System.nanoTime();
        return upstreams.stream()
                .filter(upstream -> !client.notices().isGone(upstream, now))
                .mapToLong(upstream ->
                        client.notices().availableFrom(upstream, now).orElse(now))
                .min();
    }

    /** Returns whether an attempt at the upstream has failed and no health check has succeeded since. */
    public boolean isSuspected(String upstream) {
        return suspicions.containsKey(upstream);
    }

    /** Returns whether the last connection to the upstream or its last health check failed. */
    public boolean isUnreachable(String upstream) {
        Suspicion suspicion = suspicions.get(upstream);
        return suspicion != null && suspicion.isConfirmed();
    }

    /** Marks the upstream as unreachable and starts to probe it. */
    public void markUnreachable(VirtualMachine upstream) {
        confirm(upstream, suspect(upstream), HealthCheckResult.FAILED);
    }

    /**
     * Suspects the upstream until a health check on a new connection succeeds; returns the result of the first check.
     */
    public Future<HealthCheckResult> checkReachability(VirtualMachine upstream) {
        long timer = suspect(upstream);
        return check(upstream).onSuccess(result -> update(upstream, timer, result));
    }

    /** Suspects the upstream; returns the timer of its probe, which identifies the suspicion. */
    private long suspect(VirtualMachine upstream) {
        return suspicions
                .computeIfAbsent(upstream.name(), name -> {
                    timeline.record(EventType.UPSTREAM_SUSPECTED, EventFields.of(EventField.UPSTREAM, name));
                    return Suspicion.unconfirmed(
                            vertx.setPeriodic(PROBE_PERIOD.toMillis(), timer -> probe(upstream, timer)));
                })
                .timer();
    }

    /** Applies the result of a check to the suspicion for which it was started, not to a later one. */
    private void update(VirtualMachine upstream, long timer, HealthCheckResult result) {
        if (result.isHealthy()) {
            stopProbing(upstream, timer);
        } else {
            confirm(upstream, timer, result);
        }
    }

    private void confirm(VirtualMachine upstream, long timer, HealthCheckResult result) {
        suspicions.computeIfPresent(
                upstream.name(),
                (name, suspicion) -> suspicion.timer() == timer ? suspicion.withConfirmation(result) : suspicion);
        unreachableListener.run();
    }

    /** Marks the upstream as declining requests for a default time, unless it has sent a time itself. */
    public void markUnavailable(VirtualMachine upstream) {
        if (client.notices().availableFrom(upstream, System.nanoTime()).isPresent()) {
            return;
        }
        unavailableUntil.put(upstream.name(), System.nanoTime() + DEFAULT_UNAVAILABLE_PERIOD.toNanos());
    }

    /** Marks the upstream as replaced by another one at its address, so that it gets no more requests until its entry in the list changes. */
    public void markReplaced(VirtualMachine upstream) {
        client.notices().markReplaced(upstream, System.nanoTime());
    }

    private void probe(VirtualMachine upstream, long timer) {
        TrafficView view = views.current();
        if (view.evacuations().isEvacuated(upstream.dataCentre())) {
            return;
        }
        if (!view.upstreams().contains(upstream)) {
            stopProbing(upstream, timer);
            return;
        }
        if (!acceptsRequests(upstream)) {
            return;
        }
        if (coldUpstreams().hasTerms(upstream.service()) && refuses(upstream)) {
            client.isReachable(upstream).onSuccess(reachable -> markAnswering(upstream, timer, reachable));
            return;
        }
        if (!isCold(upstream, System.nanoTime())) {
            check(upstream).onSuccess(result -> update(upstream, timer, result));
        } else if (tryTakePermit(upstream)) {
            // The owners alone check a cold upstream; the others wait until it is warm.
            checkHealth(upstream).onSuccess(result -> update(upstream, timer, result));
        }
    }

    private boolean refuses(VirtualMachine upstream) {
        Suspicion suspicion = suspicions.get(upstream.name());
        return suspicion != null && suspicion.refuses();
    }

    /** An upstream that accepts connections again may have started anew. */
    private void markAnswering(VirtualMachine upstream, long timer, boolean isReachable) {
        if (!isReachable) {
            return;
        }
        coldUpstreams().markPossiblyCold(upstream, "it accepts connections again", System.nanoTime());
        suspicions.computeIfPresent(
                upstream.name(), (name, suspicion) -> suspicion.timer() == timer ? suspicion.withAnswer() : suspicion);
    }

    /** Checks an upstream, by a connection alone if it is evacuated or its rate limit allows no request of this router now. */
    private Future<HealthCheckResult> check(VirtualMachine upstream) {
        boolean isEvacuated = views.current().evacuations().isEvacuated(upstream.dataCentre());
        return !isEvacuated && tryTakePermit(upstream)
                ? checkHealth(upstream)
                : client.isReachable(upstream)
                        .map(reachable -> reachable ? HealthCheckResult.HEALTHY : HealthCheckResult.FAILED);
    }

    private Future<HealthCheckResult> checkHealth(VirtualMachine upstream) {
        return client.checkHealth(upstream, healthPath(upstream), PROBE_TIMEOUT);
    }

    /** Returns the health check path that the operator configured for the service; empty if there is none. */
    private String healthPath(VirtualMachine upstream) {
        return views.current()
                .routes()
                .map(table -> table.healthPath(upstream.service()))
                .orElse("");
    }

    private void stopProbing(VirtualMachine upstream, long timer) {
        vertx.cancelTimer(timer);
        suspicions.computeIfPresent(upstream.name(), (name, suspicion) -> {
            if (suspicion.timer() != timer) {
                return suspicion;
            }
            timeline.record(EventType.UPSTREAM_BACK, EventFields.of(EventField.UPSTREAM, name));
            return null;
        });
    }

    /**
     * The periodic probe of a suspected upstream, whether a connection or a health check has failed since, and whether the upstream has accepted no
     * connection since the last such failure.
     */
    private record Suspicion(long timer, boolean isConfirmed, boolean refuses) {
        private static Suspicion unconfirmed(long timer) {
            return new Suspicion(timer, false, false);
        }

        private Suspicion withConfirmation(HealthCheckResult result) {
            return new Suspicion(timer, true, refuses || result == HealthCheckResult.FAILED);
        }

        private Suspicion withAnswer() {
            return new Suspicion(timer, isConfirmed, false);
        }
    }
}
