package org.baobabcart.bench.slope;

/**
 * A straight line fitted by least squares. Immutable.
 *
 * @param intercept the value at size zero
 * @param slope the growth for each unit of size
 * @param determination the coefficient of determination (R squared), 1 for a perfect line
 * @param slopeError the standard error of the slope
 */
public record LinearFit(double intercept, double slope, double determination, double slopeError) {
    private static final int ESTIMATED_PARAMETERS = 2;

    /** The line through points; needs at least three points with different sizes. */
    static LinearFit of(double[] sizes, double[] values) {
        int count = sizes.length;
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double sizeSquares = 0;
        double products = 0;
        double valueSquares = 0;
        for (int index = 0; index < count; index++) {
            double size = sizes[index] - meanSize;
            double value = values[index] - meanValue;
            sizeSquares += size * size;
            products += size * value;
            valueSquares += value * value;
        }
        double slope = products / sizeSquares;
        double residual = Math.max(0, valueSquares - slope * products);
        double determination = valueSquares == 0 ? 1 : 1 - residual / valueSquares;
        double error = Math.sqrt(residual / (count - ESTIMATED_PARAMETERS) / sizeSquares);
        return new LinearFit(meanValue - slope * meanSize, slope, determination, error);
    }

    /** The value of the line at a size. */
    double at(double size) {
        return intercept + slope * size;
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
