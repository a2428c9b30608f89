package org.baobabcart.load;

/**
 * Share of the requests that have a rank. Immutable.
 *
 * @param rank the rank, or empty to send none
 * @param share the share of requests, relative to the other ranks
 */
public record RankShare(String rank, double share) {}
