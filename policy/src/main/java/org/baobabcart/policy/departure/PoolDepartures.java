package org.baobabcart.policy.departure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Learns from a router's own attempts what to expect of the upstreams of one pool in each data centre, and applies
 * {@link DeparturePolicy}. Not thread-safe.
 */
public final class PoolDepartures {
    /** The usual latency falls fast to a faster sample and rises slowly, so that it stays that of calm times. */
    private static final double FALL_WEIGHT = 0.1;

    private static final double RISE_WEIGHT = 0.005;
    private static final double TARGET_WEIGHT = 0.05;
    /** Until something is known of it, a data centre is assumed to answer in half of the target. */
    private static final double USUAL_TARGET_SHARE = 0.5;

    private final Map<String, ObservedLatency> latencies = new HashMap<>();
    private final Map<String, Double> connectNanos = new HashMap<>();
    private double usualNanos;
    private double targetNanos;
    private DepartureShare share;

    private PoolDepartures(long nowNanos) {
        this.share = DepartureShare.none(nowNanos);
    }

    /** Creates departures of a pool from which no request has left. */
    public static PoolDepartures create(long nowNanos) {
        return new PoolDepartures(nowNanos);
    }

    /** Records the latency target of a new request. */
    public void observeTarget(double nanos) {
        targetNanos = targetNanos == 0 ? nanos : targetNanos + TARGET_WEIGHT * (nanos - targetNanos);
    }

    /** Records how long a new connection took, which is the way there and back. */
    public void observeConnect(String dataCentre, double nanos) {
        connectNanos.merge(
                dataCentre,
                nanos,
                (known, sample) -> known + (sample < known ? FALL_WEIGHT : RISE_WEIGHT) * (sample - known));
    }

    /** Records the time to the first byte of an answer; beyond the target all answers are equally late. */
    public void observeAnswer(String dataCentre, double nanos, long nowNanos) {
        usualNanos = usualNanos == 0
                ? nanos
                : usualNanos + (nanos < usualNanos ? FALL_WEIGHT : RISE_WEIGHT) * (nanos - usualNanos);
        observe(dataCentre, Math.min(nanos, targetNanos), nowNanos);
    }

    /** Records a failed attempt, which costs its caller at least the target. */
    public void observeFailure(String dataCentre, long nowNanos) {
        observe(dataCentre, targetNanos, nowNanos);
    }

    private void observe(String dataCentre, double nanos, long nowNanos) {
        latencies.merge(
                dataCentre,
                ObservedLatency.none(nowNanos).with(nanos, nowNanos),
                (known, first) -> known.with(nanos, nowNanos));
    }

    /** Returns how much longer the way to the data centre and back takes than within the router's own; zero if unknown. */
    public double extraWayNanos(String dataCentre, String localDataCentre) {
        Double there = connectNanos.get(dataCentre);
        Double here = connectNanos.get(localDataCentre);
        return there == null || here == null ? 0 : Math.max(0, there - here);
    }

    /** Returns what to expect of a data centre. */
    public DataCentreOutlook outlook(String dataCentre, String localDataCentre, int freePlaces, long nowNanos) {
        double usual =
                Math.min(usualNanos, USUAL_TARGET_SHARE * targetNanos) + extraWayNanos(dataCentre, localDataCentre);
        double expected = latencies
                .getOrDefault(dataCentre, ObservedLatency.none(nowNanos))
                .expectedNanos(usual, nowNanos);
        return new DataCentreOutlook(dataCentre, dataCentre.equals(localDataCentre), freePlaces, expected);
    }

    /** Updates the share and returns the order in which a request tries the data centres. */
    public List<String> order(List<DataCentreOutlook> outlooks, long nowNanos, DoubleSupplier uniform) {
        share = DeparturePolicy.next(share, outlooks, targetNanos, nowNanos, uniform);
        return orderForRetry(outlooks, uniform);
    }

    /** Returns the order for a request that avoids some upstreams, which says nothing about their data centres. */
    public List<String> orderForRetry(List<DataCentreOutlook> outlooks, DoubleSupplier uniform) {
        return DeparturePolicy.order(share, outlooks, targetNanos, uniform);
    }

    /** Returns the share of requests that leave. */
    public DepartureShare share() {
        return share;
    }
}
