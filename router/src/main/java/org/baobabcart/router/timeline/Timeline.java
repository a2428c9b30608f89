package org.baobabcart.router.timeline;

/** Records events of this process. Thread-safe and never blocking; the oldest events fall out. */
public interface Timeline {
    /** Records an event of the process as a whole. */
    default void record(EventType type, EventFields fields) {
        record(type, "", fields);
    }

    /**
     * Records an event.
     *
     * @param requestId the request concerned, or empty
     * @param fields what it states
     */
    void record(EventType type, String requestId, EventFields fields);
}
