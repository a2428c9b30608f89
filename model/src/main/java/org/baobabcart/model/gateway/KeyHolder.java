package org.baobabcart.model.gateway;

/**
 * The workspace to which an API key belongs. Immutable.
 *
 * @param workspace the workspace's name
 * @param rank the rank of its requests; negative if the route's rank applies
 */
public record KeyHolder(String workspace, int rank) {
    /** Returns the rank of this workspace's requests on a route. */
    public int rankOn(Route route) {
        return rank >= 0 ? rank : route.rank();
    }
}
