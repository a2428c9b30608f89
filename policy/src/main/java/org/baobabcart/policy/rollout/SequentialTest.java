package org.baobabcart.policy.rollout;

import org.apache.commons.numbers.gamma.LogBeta;

/**
 * Sequential tests on the mean of losses between 0 and 1 that may be evaluated after every observation. Stateless.
 *
 * <p>Two families of non-negative supermartingales are used. Both are functions of count, sum and sum of squares alone,
 * so that grow-only counters of many nodes suffice. The likelihood ratio of two Bernoulli distributions (Wald,
 * "Sequential Tests of Statistical Hypotheses", 1945) remains a supermartingale for any bounded losses, by the
 * convexity argument of Hoeffding, "Probability Inequalities for Sums of Bounded Random Variables" (1963). The
 * exponential of Fan, Grama and Liu, "Exponential inequalities for martingales with applications" (2015), has more
 * power if the variance is small. By Ville's inequality the probability that the mean over several of them ever exceeds
 * {@code 1 / a} is at most {@code a}; see Howard, Ramdas, McAuliffe and Sekhon, "Time-uniform, nonparametric,
 * nonasymptotic confidence sequences" (2021).
 */
final class SequentialTest {
    private static final double[] ALTERNATIVES = {0.02, 0.04, 0.07, 0.1, 0.15, 0.2, 0.3, 0.4, 0.55, 0.7, 0.85, 0.95};
    private static final double[] SCALES = {0.1, 0.2, 0.4};
    private static final double[] SLOPES = {0.2, 0.4, 0.6};
    private static final double[] UPPER_SLOPES = {0.02, 0.05, 0.1, 0.2, 0.4, 0.6};
    private static final double JEFFREYS_PRIOR = 0.5;
    private static final int UPPER_FAMILIES = 2;
    private static final int BISECTION_STEPS = 40;
    private static final double MIN_MEAN = 1e-9;

    private SequentialTest() {}

    /**
     * Returns the logarithm of the evidence against the hypothesis that the mean loss is at most a bound. The evidence
     * is the largest of the supermartingales divided by their number, which never exceeds their mean. It does not
     * increase with the bound.
     *
     * @param sample the observed losses
     * @param bound the largest mean loss under the hypothesis
     */
    static double logEvidenceAbove(LossSample sample, double bound) {
        double nullMean = Math.max(MIN_MEAN, bound);
        if (nullMean >= 1 || sample.mean() <= nullMean) {
            return 0;
        }
        double greatest = Double.NEGATIVE_INFINITY;
        for (double alternative : ALTERNATIVES) {
            greatest = Math.max(greatest, logRatio(sample, alternative, nullMean));
        }
        for (double scale : SCALES) {
            for (double slope : SLOPES) {
                greatest = Math.max(greatest, logExponential(sample, scale, slope, nullMean));
            }
        }
        return greatest - Math.log(ALTERNATIVES.length + SCALES.length * SLOPES.length);
    }

    /**
     * Returns the upper end of a confidence sequence for the mean loss.
     *
     * @param sample the observed losses
     * @param logThreshold the logarithm of {@code 1 / p}, where p bounds the probability that the mean ever exceeds the
     *     upper end
     */
    static double upperMean(LossSample sample, double logThreshold) {
        if (sample.count() == 0) {
            return 1;
        }
        double low = sample.mean();
        double high = 1;
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double middle = (low + high) / 2;
            if (logEvidenceBelow(sample, middle) < logThreshold) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    /**
     * Returns the log-likelihood ratio of two means, or negative infinity if the alternative is not above the null
     * mean.
     */
    private static double logRatio(LossSample sample, double alternative, double nullMean) {
        if (alternative <= nullMean) {
            return Double.NEGATIVE_INFINITY;
        }
        double complement = sample.count() - sample.sum();
        return sample.sum() * Math.log(alternative / nullMean)
                + complement * Math.log((1 - alternative) / (1 - nullMean));
    }

    /**
     * Returns the exponent of Fan, Grama and Liu for losses above a mean, in units of a scale that is not below that
     * mean. It is concave in the mean, so that the lesser of its values at both ends holds for any mean up to the
     * bound.
     */
    private static double logExponential(LossSample sample, double scale, double slope, double nullMean) {
        if (scale < nullMean) {
            return Double.NEGATIVE_INFINITY;
        }
        return Math.min(exponent(sample, scale, slope, 0), exponent(sample, scale, slope, nullMean));
    }

    private static double exponent(LossSample sample, double scale, double slope, double mean) {
        double distance = (sample.sum() - sample.count() * mean) / scale;
        double squares = sample.squaredDeviations(mean) / (scale * scale);
        return slope * distance - penalty(slope) * squares;
    }

    /** Returns the logarithm of the evidence against the hypothesis that the mean loss is at least a bound. */
    private static double logEvidenceBelow(LossSample sample, double bound) {
        double exponential = Double.NEGATIVE_INFINITY;
        for (double slope : UPPER_SLOPES) {
            double distance = sample.count() * bound - sample.sum();
            double exponent = slope * distance - penalty(slope) * sample.squaredDeviations(bound);
            exponential = Math.max(exponential, exponent - Math.log(UPPER_SLOPES.length));
        }
        return Math.max(exponential, logMixture(sample, bound)) - Math.log(UPPER_FAMILIES);
    }

    /**
     * Returns the logarithm of the likelihood ratios against one mean, mixed over all means with the Jeffreys prior.
     */
    private static double logMixture(LossSample sample, double mean) {
        double complement = sample.count() - sample.sum();
        double marginal = LogBeta.value(sample.sum() + JEFFREYS_PRIOR, complement + JEFFREYS_PRIOR)
                - LogBeta.value(JEFFREYS_PRIOR, JEFFREYS_PRIOR);
        double likelihood =
                sample.sum() * Math.log(Math.max(MIN_MEAN, mean)) + complement * Math.log(Math.max(MIN_MEAN, 1 - mean));
        return marginal - likelihood;
    }

    private static double penalty(double slope) {
        return -slope - Math.log1p(-slope);
    }
}
