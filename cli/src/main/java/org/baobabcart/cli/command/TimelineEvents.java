package org.baobabcart.cli.command;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Comparator;
import java.util.List;

/**
 * The answer of a router's time line. Immutable.
 *
 * @param node the router
 * @param events its events, the oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record TimelineEvents(String node, List<TimelineEvent> events) {
    private static final Comparator<TimelineEvent> ORDER =
            Comparator.comparingLong(TimelineEvent::clock).thenComparing(TimelineEvent::node);

    TimelineEvents {
        events = events == null ? List.of() : List.copyOf(events);
    }

    /** The events of all routers in the order of their hybrid logical clocks, each event once. */
    static List<TimelineEvent> merge(List<TimelineEvents> answers) {
        return answers.stream()
                .flatMap(answer -> answer.events().stream())
                .distinct()
                .sorted(ORDER)
                .toList();
    }
}
