package org.baobabcart.bench;

/**
 * A figure and what it must reach. Immutable.
 *
 * @param figure what was measured
 * @param value its value
 * @param relation {@code at most} or {@code at least}
 * @param limit the limit that was set before the measurement
 * @param reached whether the value keeps to it
 */
public record Bound(String figure, double value, String relation, double limit, boolean reached) {
    /** A figure that must not be greater than a limit. */
    static Bound atMost(String figure, double value, double limit) {
        return new Bound(figure, value, "at most", limit, value <= limit);
    }

    /** A figure that must not be less than a limit. */
    static Bound atLeast(String figure, double value, double limit) {
        return new Bound(figure, value, "at least", limit, value >= limit);
    }
}
