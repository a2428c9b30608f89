package org.baobabcart.policy.placement;

import java.util.List;

/**
 * Decides which engines load what next. Immutable.
 *
 * <p>An engine is moved only for a version that lacks engines, so that surplus alone moves nothing, and each move goes
 * straight to the version that lacks it. The last engine of a version that is in use stays until another version of its
 * model, or another engine, serves.
 */
public final class PlacementPolicy {
    private final PlacementSettings settings;

    private PlacementPolicy(PlacementSettings settings) {
        this.settings = settings;
    }

    /** A policy with these settings. */
    public static PlacementPolicy of(PlacementSettings settings) {
        return new PlacementPolicy(settings);
    }

    /** The book after a look at the engines. */
    public PlacementState observe(
            PlacementState book, DesiredPlacements wanted, List<EngineListing> engines, long nowNanos) {
        return book.observed(wanted, engines, nowNanos, settings);
    }

    /** The next moves, given a book that has been observed at this time. */
    public PlacementPlan plan(
            PlacementState book, DesiredPlacements wanted, List<EngineListing> engines, long nowNanos) {
        PlacementPlanner draft = new PlacementPlanner(book, wanted, engines, settings, nowNanos);
        wanted.engines().keySet().forEach(draft::fill);
        return draft.plan();
    }
}
