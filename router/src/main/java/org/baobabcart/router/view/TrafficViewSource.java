package org.baobabcart.router.view;

/** Gives the latest view to traffic threads. Thread-safe and non-blocking. */
@FunctionalInterface
public interface TrafficViewSource {
    /** The latest published view. */
    TrafficView current();
}
