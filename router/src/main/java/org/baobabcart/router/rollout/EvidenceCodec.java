package org.baobabcart.router.rollout;

import org.baobabcart.policy.rollout.EvidenceEntry;
import org.baobabcart.policy.rollout.VersionTotals;
import org.baobabcart.wire.EvidenceReport;

/** Converts evidence between the policy types and the messages exchanged by routers. Stateless. */
final class EvidenceCodec {
    private EvidenceCodec() {}

    static EvidenceReport toReport(EvidenceEntry entry) {
        VersionTotals totals = entry.totals();
        EvidenceReport report = new EvidenceReport(
                entry.model(),
                entry.version(),
                entry.nodeId(),
                entry.stageEpoch(),
                totals.successes(),
                totals.failures(),
                totals.ratings(),
                totals.ratingSum(),
                totals.ratingSquareSum());
        report.setTimed(totals.timed());
        report.setLatencyLossSum(totals.latencyLossSum());
        report.setLatencyLossSquareSum(totals.latencyLossSquareSum());
        return report;
    }

    /**
     * Converts a received report. Routers that do not support latency evidence leave the latency fields unset; they are
     * read as zero.
     */
    static EvidenceEntry toEntry(EvidenceReport report) {
        VersionTotals totals = new VersionTotals(
                report.getSuccesses(),
                report.getFailures(),
                report.getRatings(),
                report.getRatingSum(),
                report.getRatingSquareSum(),
                report.getTimed(),
                report.getLatencyLossSum(),
                report.getLatencyLossSquareSum());
        return new EvidenceEntry(
                report.getModel(), report.getVersion(), report.getNodeId(), report.getStageEpoch(), totals);
    }
}
