package org.baobabcart.bench.slope;

import java.util.List;

/**
 * A cost measured at several sizes, with its fit. Immutable.
 *
 * @param cost what was measured, with its unit
 * @param against what was varied
 * @param sizes the sizes
 * @param values the cost at each size
 * @param fit the straight line through them
 */
public record Series(String cost, String against, List<Double> sizes, List<Double> values, LinearFit fit) {
    /** Copies the lists. */
    public Series {
        sizes = List.copyOf(sizes);
        values = List.copyOf(values);
    }

    /** A series with its fit. */
    static Series of(String cost, String against, List<Double> sizes, List<Double> values) {
        double[] xs = sizes.stream().mapToDouble(Double::doubleValue).toArray();
        double[] ys = values.stream().mapToDouble(Double::doubleValue).toArray();
        return new Series(cost, against, sizes, values, LinearFit.of(xs, ys));
    }
}
