package org.baobabcart.policy.placement;

import java.util.List;

/**
 * What is to be ordered now, and what cannot be. Immutable.
 *
 * @param moves engines with what each is to load
 * @param shortfalls engines that are wanted and not ordered now
 */
public record PlacementPlan(List<Move> moves, List<Shortfall> shortfalls) {
    /** Copies the lists. */
    public PlacementPlan {
        moves = List.copyOf(moves);
        shortfalls = List.copyOf(shortfalls);
    }

    /** Nothing to order and nothing missing. */
    public static PlacementPlan empty() {
        return new PlacementPlan(List.of(), List.of());
    }

    /**
     * An engine and what it is to load. Immutable.
     *
     * @param engine the engine's name
     * @param target what it is to serve
     */
    public record Move(String engine, ModelVersion target) {}
}
