package org.baobabcart.router.fleet;

/** Tells how old the known registrations of routers are. Thread-safe. */
@FunctionalInterface
public interface FleetNews {
    /** The age before the registrations have been read. */
    long NEVER = Long.MAX_VALUE;

    /** Returns the time since the store last confirmed the registrations, to this router or to its relay, in nanoseconds of the steady clock; {@link #NEVER} before the first read. */
    long ageNanos();
}
