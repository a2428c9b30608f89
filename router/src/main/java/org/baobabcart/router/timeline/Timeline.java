package org.baobabcart.router.timeline;

/** Records events of this process. Implementations are thread-safe, never block, and may drop events. */
public interface Timeline {
    /** Records an event that concerns no single request. */
    default void record(EventType type, EventFields fields) {
        record(type, "", fields);
    }

    /**
     * Records an event.
     *
     * @param requestId the id of the request concerned, or empty
     * @param fields the fields of the event
     */
    void record(EventType type, String requestId, EventFields fields);
}
