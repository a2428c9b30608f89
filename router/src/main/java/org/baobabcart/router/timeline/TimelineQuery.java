package org.baobabcart.router.timeline;

import java.util.Optional;

/**
 * Which events are wanted; an empty part matches all. Immutable.
 *
 * @param requestId the request concerned
 * @param since readings of the clock up to this one are left out
 * @param sheet the generation of a sheet that the event tells of
 * @param type the type of event
 */
public record TimelineQuery(Optional<String> requestId, long since, Optional<String> sheet, Optional<EventType> type) {
    /** A query that matches all events. */
    public static TimelineQuery all() {
        return new TimelineQuery(Optional.empty(), 0, Optional.empty(), Optional.empty());
    }

    /** Whether the event is wanted. */
    public boolean matches(TimelineEvent event) {
        return event.clock() > since
                && requestId.map(event.requestId()::equals).orElse(true)
                && type.map(wanted -> wanted == event.type()).orElse(true)
                && sheet.map(wanted -> tellsOfSheet(event, wanted)).orElse(true);
    }

    private static boolean tellsOfSheet(TimelineEvent event, String generation) {
        return event.type() == EventType.SHEET_APPLIED
                && event.detail()
                        .get(EventField.GENERATION)
                        .filter(generation::equals)
                        .isPresent();
    }
}
