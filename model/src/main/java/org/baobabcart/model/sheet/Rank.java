package org.baobabcart.model.sheet;

/**
 * A priority class of requests. Immutable.
 *
 * @param name the name that callers send in the rank header
 * @param targetMillis the target time to the first token or byte, in milliseconds
 * @param worth the relative value of one request that is answered in time
 * @param floor the fraction of capacity, from 0 to 1, that is reserved for this rank under a load of more urgent work
 */
public record Rank(String name, long targetMillis, double worth, double floor) {}
