package org.baobabcart.policy.placement;

import java.util.List;

/**
 * The loads to order now, and the desired engines that can't be provided now. Immutable.
 *
 * @param moves the engines to order a load for, each with its target
 * @param shortfalls the versions that lack engines, each with the reason
 */
public record PlacementPlan(List<Move> moves, List<Shortfall> shortfalls) {
    /** Copies the lists. */
    public PlacementPlan {
        moves = List.copyOf(moves);
        shortfalls = List.copyOf(shortfalls);
    }

    /** Returns a plan without moves and shortfalls. */
    public static PlacementPlan empty() {
        return new PlacementPlan(List.of(), List.of());
    }

    /**
     * An engine and the version that it is to load. Immutable.
     *
     * @param engine the engine's name
     * @param target the version to load
     */
    public record Move(String engine, ModelVersion target) {}
}
