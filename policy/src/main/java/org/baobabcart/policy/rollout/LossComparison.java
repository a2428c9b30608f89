package org.baobabcart.policy.rollout;

import java.util.Locale;

/**
 * The new version's losses of one window and the greatest mean that is allowed. Immutable.
 *
 * @param kind the kind of loss
 * @param window the window's number
 * @param sample the losses
 * @param bound the greatest mean
 */
record LossComparison(LossKind kind, long window, LossSample sample, double bound) {
    /** The logarithm of the evidence that the mean is greater. */
    double logEvidence() {
        return SequentialTest.logEvidenceAbove(sample, bound);
    }

    /** A reason for operators. */
    String reason() {
        return String.format(
                Locale.ROOT,
                "%s %.3f of %.0f, at most %.3f allowed",
                kind.label(),
                sample.mean(),
                sample.count(),
                bound);
    }
}
