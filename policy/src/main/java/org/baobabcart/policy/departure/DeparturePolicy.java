package org.baobabcart.policy.departure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/**
 * Decides how many requests leave the router's data centre, and in which order data centres are tried.
 *
 * <p>Answers the load of one data centre with too few, slow or failing upstreams while others have free ones. A request
 * leaves only if its caller notices the gain, measured against the latency target of its route. All routers of a data
 * centre see the same trouble at about the same time, so the share changes at a bounded and randomized rate: other data
 * centres slow down while the share is still growing, which stops the growth.
 */
public final class DeparturePolicy {
    /** Callers notice a gain of a fifth of their latency target. */
    private static final double BEGIN_GAIN = 0.2;
    /** Hysteresis: requests return only once leaving gains less than half of that. */
    private static final double RETURN_GAIN = 0.1;
    /** Requests of callers with targets of a second would be late if leaving took longer. */
    private static final double DEPARTURE_PER_SECOND = 1;
    /** Slower than the departure, since upstreams that have just come back may be slow at first. */
    private static final double RETURN_PER_SECOND = 0.25;
    /** Bounds the change after a pause without requests. */
    private static final double MAX_STEP_SECONDS = 0.5;

    private static final double NANOS_PER_SECOND = 1e9;

    private DeparturePolicy() {}

    /**
     * Returns the share after the time since its last update. Grows while the router's own data centre has no usable upstream,
     * shrinks while no other data centre has one.
     *
     * @param outlooks the data centres with usable upstreams
     * @param targetNanos the latency target of the pool's requests
     * @param uniform a source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public static DepartureShare next(
            DepartureShare share,
            List<DataCentreOutlook> outlooks,
            double targetNanos,
            long nowNanos,
            DoubleSupplier uniform) {
        double seconds = Math.min(MAX_STEP_SECONDS, (nowNanos - share.updatedNanos()) / NANOS_PER_SECOND);
        double step = seconds * 2 * uniform.getAsDouble();
        double gain = gain(outlooks) / Math.max(1, targetNanos);
        double value = share.value();
        if (gain > BEGIN_GAIN) {
            value = Math.min(1, value + step * DEPARTURE_PER_SECOND);
        } else if (gain < RETURN_GAIN) {
            value = Math.max(0, value - step * RETURN_PER_SECOND);
        }
        return new DepartureShare(value, nowNanos);
    }

    /** Returns the time that a request gains by leaving; infinite if it cannot stay. */
    private static double gain(List<DataCentreOutlook> outlooks) {
        Optional<DataCentreOutlook> local = local(outlooks);
        List<DataCentreOutlook> remote = remote(outlooks);
        if (remote.isEmpty()) {
            return Double.NEGATIVE_INFINITY;
        }
        return local.map(outlook -> outlook.expectedNanos() - leastNanos(remote))
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Returns the data centres in the order in which one request tries them. Among other data centres, those that are
     * not noticeably slower than the best are chosen in proportion to their free places.
     */
    public static List<String> order(
            DepartureShare share, List<DataCentreOutlook> outlooks, double targetNanos, DoubleSupplier uniform) {
        boolean leaves = uniform.getAsDouble() < share.value();
        List<DataCentreOutlook> order = new ArrayList<>();
        List<DataCentreOutlook> remaining = remote(outlooks);
        while (!remaining.isEmpty()) {
            DataCentreOutlook chosen = choose(remaining, targetNanos, uniform);
            order.add(chosen);
            remaining.remove(chosen);
        }
        local(outlooks).ifPresent(outlook -> order.add(leaves ? order.size() : 0, outlook));
        return order.stream().map(DataCentreOutlook::dataCentre).toList();
    }

    private static DataCentreOutlook choose(
            List<DataCentreOutlook> remote, double targetNanos, DoubleSupplier uniform) {
        double limit = leastNanos(remote) + RETURN_GAIN * targetNanos;
        List<DataCentreOutlook> fast = remote.stream()
                .filter(outlook -> outlook.expectedNanos() <= limit)
                .toList();
        double remaining = uniform.getAsDouble()
                * fast.stream().mapToLong(DataCentreOutlook::freePlaces).sum();
        for (DataCentreOutlook outlook : fast) {
            remaining -= outlook.freePlaces();
            if (remaining < 0) {
                return outlook;
            }
        }
        return fast.get(fast.size() - 1);
    }

    private static Optional<DataCentreOutlook> local(List<DataCentreOutlook> outlooks) {
        return outlooks.stream().filter(DataCentreOutlook::local).findFirst();
    }

    private static List<DataCentreOutlook> remote(List<DataCentreOutlook> outlooks) {
        return outlooks.stream()
                .filter(outlook -> !outlook.local())
                .sorted(Comparator.comparing(DataCentreOutlook::dataCentre))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private static double leastNanos(List<DataCentreOutlook> outlooks) {
        return outlooks.stream()
                .mapToDouble(DataCentreOutlook::expectedNanos)
                .min()
                .orElseThrow();
    }
}
