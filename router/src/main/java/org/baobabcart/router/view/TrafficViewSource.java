package org.baobabcart.router.view;

/** Provides the latest view to traffic threads. Thread-safe and non-blocking. */
@FunctionalInterface
public interface TrafficViewSource {
    /** Returns the latest published view. */
    TrafficView current();
}
