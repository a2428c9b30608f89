package org.baobabcart.cli.command;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Comparator;
import java.util.List;

/**
 * Time line response of a router. Immutable.
 *
 * @param node the name of the router
 * @param events the events, oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record TimelineEvents(String node, List<TimelineEvent> events) {
    private static final Comparator<TimelineEvent> ORDER =
            Comparator.comparingLong(TimelineEvent::clock).thenComparing(TimelineEvent::node);

    TimelineEvents {
        events = events == null ? List.of() : List.copyOf(events);
    }

    /** Merges the events of all routers in the order of their hybrid logical clocks, without duplicates. */
    static List<TimelineEvent> merge(List<TimelineEvents> timelines) {
        return timelines.stream()
                .flatMap(timeline -> timeline.events().stream())
                .distinct()
                .sorted(ORDER)
                .toList();
    }
}
