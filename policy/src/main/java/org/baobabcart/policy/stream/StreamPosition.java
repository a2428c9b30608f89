package org.baobabcart.policy.stream;

import java.util.Optional;
import org.baobabcart.model.request.EventId;

/**
 * How far a caller has received a stream across the attempts of its request, and which events of the current attempt
 * continue it. Not thread-safe.
 *
 * <p>The ids of a stream increase. An event without an id leaves the position unknown until an event with an id follows;
 * while it is unknown, no other attempt can continue the stream.
 */
public final class StreamPosition {
    private final Optional<EventId> requestedAfter;
    private Optional<EventId> lastRelayed = Optional.empty();
    /** The greatest id of the current attempt, also of events that were dropped. */
    private Optional<EventId> lastOfAttempt = Optional.empty();

    private boolean relayed;
    private boolean known = true;
    /** Whether an earlier attempt has sent events that the caller has. */
    private boolean continued;
    /** Whether the current attempt may still send events that the caller has already. */
    private boolean catchingUp;

    private StreamPosition(Optional<EventId> requestedAfter) {
        this.requestedAfter = requestedAfter;
    }

    /**
     * Creates the position at the start of a request.
     *
     * @param requestedAfter the id of the last event that the caller received on an earlier request; empty if it does not resume
     */
    public static StreamPosition create(Optional<EventId> requestedAfter) {
        return new StreamPosition(requestedAfter);
    }

    /** Returns the id of the event after which the next attempt must resume; empty for the start of the stream. */
    public Optional<EventId> resumeAfter() {
        return lastRelayed.isPresent() ? lastRelayed : requestedAfter;
    }

    /** Returns the id of the last event that was relayed by this request. */
    public Optional<EventId> lastRelayed() {
        return lastRelayed;
    }

    /** Returns whether another attempt can continue the stream: nothing was relayed yet, or the position is known. */
    public boolean isResumable() {
        return !relayed || known;
    }

    /** Called when an attempt begins. */
    public void attemptBegan() {
        lastOfAttempt = Optional.empty();
        continued = relayed;
        catchingUp = resumeAfter().isPresent();
    }

    /** Decides on the next event of the current attempt, and advances the position if it is relayed. */
    public EventAction advance(Optional<EventId> id) {
        return id.isPresent() ? advanceTo(id.get()) : advanceWithoutId();
    }

    /** Returns whether the current attempt may end here: it sent nothing, or at least as much as the caller has received. */
    public boolean hasCaughtUp() {
        return !catchingUp || lastOfAttempt.isEmpty() || lastOfAttempt.equals(resumeAfter());
    }

    private EventAction advanceTo(EventId id) {
        if (lastOfAttempt.isPresent() && id.compareTo(lastOfAttempt.get()) <= 0) {
            return EventAction.BREAK_OFF;
        }
        lastOfAttempt = Optional.of(id);
        if (catchingUp && id.compareTo(resumeAfter().get()) <= 0) {
            return EventAction.DROP;
        }
        lastRelayed = Optional.of(id);
        relayed = true;
        known = true;
        catchingUp = false;
        return EventAction.RELAY;
    }

    private EventAction advanceWithoutId() {
        if (catchingUp && continued) {
            return EventAction.BREAK_OFF;
        }
        relayed = true;
        known = false;
        return EventAction.RELAY;
    }
}
