package org.baobabcart.model.sheet;

/**
 * A class of urgency. Immutable.
 *
 * @param name the name that callers send
 * @param targetMillis the time to the first token or byte that the rank is promised, in milliseconds
 * @param worth the relative value of one request answered in time
 * @param floor the share of capacity, from 0 to 1, that this rank keeps while more urgent work floods in
 */
public record Rank(String name, long targetMillis, double worth, double floor) {}
