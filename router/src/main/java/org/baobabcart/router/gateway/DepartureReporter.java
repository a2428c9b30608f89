package org.baobabcart.router.gateway;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.departure.PlacementReason;
import org.baobabcart.router.metrics.LabelledMetrics;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.upstream.DepartureObserver;
import org.baobabcart.router.upstream.Pool;

/** Counts the requests assigned to each data centre, and records when requests begin or cease to leave the own one. Thread-safe. */
final class DepartureReporter implements DepartureObserver {
    private final LabelledMetrics metrics;
    private final Timeline timeline;

    private final Map<Placement, Meter> placements = new ConcurrentHashMap<>();

    private record Placement(String dataCentre, PlacementReason reason) {
        private Map<String, String> labels() {
            return LabelledMetrics.labels(
                    "data_centre", dataCentre, "reason", reason.name().toLowerCase(Locale.ROOT));
        }
    }

    private DepartureReporter(MetricRegistry registry, Timeline timeline) {
        this.metrics = LabelledMetrics.create(registry);
        this.timeline = timeline;
    }

    static DepartureReporter create(MetricRegistry registry, Timeline timeline) {
        return new DepartureReporter(registry, timeline);
    }

    @Override
    public void placed(String dataCentre, PlacementReason reason) {
        placements
                .computeIfAbsent(
                        new Placement(dataCentre, reason),
                        placement -> metrics.meter("gateway.placements", placement.labels()))
                .mark();
    }

    @Override
    public void departing(Pool pool, boolean departing) {
        timeline.record(
                EventType.DEPARTURE_CHANGED,
                EventFields.of(EventField.SERVICE, pool.toString())
                        .with(EventField.STATE, departing ? "departing" : "staying"));
    }
}
