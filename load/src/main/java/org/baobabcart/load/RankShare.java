package org.baobabcart.load;

/**
 * How many of the requests carry a rank. Immutable.
 *
 * @param rank the rank, or empty to send none
 * @param share its share of all requests relative to the other ranks
 */
public record RankShare(String rank, double share) {}
