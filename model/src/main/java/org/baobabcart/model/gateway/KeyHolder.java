package org.baobabcart.model.gateway;

/**
 * The workspace that holds a key. Immutable.
 *
 * @param workspace the workspace's name
 * @param rank the rank of its requests; negative where the route decides
 */
public record KeyHolder(String workspace, int rank) {
    /** The rank of a request of this workspace on a route. */
    public int rankOn(Route route) {
        return rank >= 0 ? rank : route.rank();
    }
}
