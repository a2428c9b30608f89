package org.baobabcart.router.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.baobabcart.policy.departure.DataCentreOutlook;
import org.baobabcart.policy.departure.PoolDepartures;
import org.baobabcart.policy.upstream.UpstreamCandidate;

/** Selects the data centre of each request, per pool of upstreams. Guarded by the dispatcher's lock. */
final class Departures {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final String localDataCentre;
    private final DepartureObserver observer;
    private final DoubleSupplier random;
    private final Map<Pool, PoolDepartures> pools = new HashMap<>();

    private Departures(String localDataCentre, DepartureObserver observer, DoubleSupplier random) {
        this.localDataCentre = localDataCentre;
        this.observer = observer;
        this.random = random;
    }

    static Departures create(String localDataCentre, DepartureObserver observer, DoubleSupplier random) {
        return new Departures(localDataCentre, observer, random);
    }

    /** Returns the data centres with free upstreams, in the order in which a request tries them. */
    List<String> order(SlotRequest request, Map<String, List<UpstreamCandidate>> candidates, long nowNanos) {
        PoolDepartures departures = of(request.pool(), nowNanos);
        List<DataCentreOutlook> outlooks = new ArrayList<>();
        candidates.forEach((dataCentre, upstreams) -> {
            int freePlaces = freePlaces(upstreams);
            if (freePlaces > 0) {
                outlooks.add(departures.outlook(dataCentre, localDataCentre, freePlaces, nowNanos));
            }
        });
        if (!request.avoidedUpstreams().isEmpty()) {
            return departures.orderForRetry(outlooks, random);
        }
        boolean departing = departures.share().isDeparting();
        List<String> order = departures.order(outlooks, nowNanos, random);
        if (departures.share().isDeparting() != departing) {
            observer.departing(request.pool(), !departing);
        }
        return order;
    }

    /** Returns whether a prompt saves more time at an upstream that has cached its prefix than the way there takes. */
    boolean isCachedPrefixWorthTheWay(SlotRequest request, String dataCentre, long nowNanos) {
        return request.cachedPrefixGainNanos()
                > of(request.pool(), nowNanos).extraWayNanos(dataCentre, localDataCentre);
    }

    /** Records the latency target of a request; retries have none of their own. */
    void recordRequest(SlotRequest request, long nowNanos) {
        if (request.targetNanos() != request.deadlineNanos() && request.targetNanos() - nowNanos > 0) {
            of(request.pool(), nowNanos).observeTarget(request.targetNanos() - nowNanos);
        }
    }

    void recordConnection(Pool pool, String dataCentre, long nanos, long nowNanos) {
        of(pool, nowNanos).observeConnect(dataCentre, nanos);
    }

    void recordResponse(Pool pool, String dataCentre, long latencyNanos, int status, long nowNanos) {
        if (status < MIN_SERVER_ERROR_STATUS) {
            of(pool, nowNanos).observeAnswer(dataCentre, latencyNanos, nowNanos);
        } else {
            recordFailure(pool, dataCentre, nowNanos);
        }
    }

    void recordFailure(Pool pool, String dataCentre, long nowNanos) {
        of(pool, nowNanos).observeFailure(dataCentre, nowNanos);
    }

    /** Forgets the pools that match. */
    void removeIf(Predicate<Pool> unused) {
        pools.keySet().removeIf(unused);
    }

    private PoolDepartures of(Pool pool, long nowNanos) {
        return pools.computeIfAbsent(pool, ignored -> PoolDepartures.create(nowNanos));
    }

    private static int freePlaces(List<UpstreamCandidate> upstreams) {
        long sum = upstreams.stream()
                .mapToLong(upstream -> Math.max(0, upstream.limit() - upstream.inFlight()))
                .sum();
        return (int) Math.min(Integer.MAX_VALUE, sum);
    }
}
