package org.baobabcart.policy.rollout;

import java.util.Locale;

/**
 * The new version's losses in one window, to be tested against an upper bound on their mean. Immutable.
 *
 * @param kind the kind of loss
 * @param window the number of the window
 * @param sample the losses of the new version
 * @param bound the largest allowed mean loss
 */
record LossComparison(LossKind kind, long window, LossSample sample, double bound) {
    /** Returns the logarithm of the evidence that the mean loss exceeds the bound. */
    double logEvidence() {
        return SequentialTest.logEvidenceAbove(sample, bound);
    }

    /** Returns the comparison as text for operators. */
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
