package org.baobabcart.router.timeline;

/** Records events of this process. Thread-safe and never blocking; the oldest events fall out. */
public interface Timeline {
    /** Records an event of the process as a whole. */
    default void record(EventType type, String detail) {
        record(type, "", detail);
    }

    /**
     * Records an event.
     *
     * @param requestId the request concerned, or empty
     * @param detail a short text for people, free of keys and prompts
     */
    void record(EventType type, String requestId, String detail);
}
