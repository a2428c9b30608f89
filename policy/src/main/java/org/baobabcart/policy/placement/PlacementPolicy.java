package org.baobabcart.policy.placement;

import java.util.List;

/**
 * Decides which engine loads which version next. Immutable.
 *
 * <p>An engine is moved only to a version that lacks engines; surplus engines alone cause no move. The last engine of a
 * version in use stays until another engine, or another version of the model, serves its callers.
 */
public final class PlacementPolicy {
    private final PlacementSettings settings;

    private PlacementPolicy(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Creates a policy. */
    public static PlacementPolicy of(PlacementSettings settings) {
        return new PlacementPolicy(settings);
    }

    /** Returns the state updated from the listed engines. */
    public PlacementState observe(
            PlacementState state, DesiredPlacements desired, List<EngineListing> engines, long nowNanos) {
        return state.observed(desired, engines, nowNanos, settings);
    }

    /** Returns the next moves; the state must have been updated by {@link #observe} at this time. */
    public PlacementPlan plan(
            PlacementState state, DesiredPlacements desired, List<EngineListing> engines, long nowNanos) {
        PlacementPlanner planner = new PlacementPlanner(state, desired, engines, settings, nowNanos);
        desired.engines().keySet().forEach(planner::fill);
        return planner.plan();
    }
}
