package org.baobabcart.router.timeline;

import java.util.Optional;

/**
 * Selects events of a time line; an empty criterion matches all events. Immutable.
 *
 * @param requestId the id of the request concerned
 * @param since the timestamp of the hybrid logical clock after which events match
 * @param sheet the generation of a sheet; only events of type {@link EventType#SHEET_APPLIED} with it match
 * @param type the type of the event
 */
public record TimelineQuery(Optional<String> requestId, long since, Optional<String> sheet, Optional<EventType> type) {
    /** Returns a query that matches all events. */
    public static TimelineQuery all() {
        return new TimelineQuery(Optional.empty(), 0, Optional.empty(), Optional.empty());
    }

    /** Returns whether an event matches all criteria. */
    public boolean matches(TimelineEvent event) {
        return event.clock() > since
                && requestId.map(event.requestId()::equals).orElse(true)
                && type.map(wanted -> wanted == event.type()).orElse(true)
                && sheet.map(wanted -> appliesSheet(event, wanted)).orElse(true);
    }

    private static boolean appliesSheet(TimelineEvent event, String generation) {
        return event.type() == EventType.SHEET_APPLIED
                && event.detail()
                        .get(EventField.GENERATION)
                        .filter(generation::equals)
                        .isPresent();
    }
}
