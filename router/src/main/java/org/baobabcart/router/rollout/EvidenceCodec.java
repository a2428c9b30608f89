package org.baobabcart.router.rollout;

import org.baobabcart.policy.rollout.EvidenceEntry;
import org.baobabcart.policy.rollout.VersionTotals;
import org.baobabcart.wire.EvidenceReport;

/** Evidence between the policy's types and the messages of routers. Stateless. */
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

    /** The times are missing in reports of routers that do not know them yet, and count as none. */
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
