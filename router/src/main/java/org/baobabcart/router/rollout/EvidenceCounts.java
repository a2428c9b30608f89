package org.baobabcart.router.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.policy.rollout.EvidenceEntry;
import org.baobabcart.policy.rollout.EvidenceTable;
import org.baobabcart.policy.rollout.VersionOutcome;
import org.baobabcart.policy.rollout.VersionTotals;
import org.baobabcart.wire.EvidenceReport;

/**
 * What this router has counted and what others have told. Confined to the control thread.
 *
 * <p>Own counts go into each exchange; counts of others are passed on a few times, the longest unsent first, so that
 * an exchange stays small however many routers there are.
 */
final class EvidenceCounts {
    private static final int FORWARDS = 3;

    private final String nodeId;
    private final Map<Counted, VersionTotals> own = new HashMap<>();
    private final Map<Origin, Integer> unsent = new LinkedHashMap<>();
    private EvidenceTable others = EvidenceTable.empty();

    private EvidenceCounts(String nodeId) {
        this.nodeId = nodeId;
    }

    private record Counted(String model, String version, long stageEpoch) {}

    private record Origin(Counted counted, String nodeId) {}

    /** No counts; the id names this router and its incarnation. */
    static EvidenceCounts create(String nodeId) {
        return new EvidenceCounts(nodeId);
    }

    /** Counts an outcome of this router. */
    void count(String model, String version, long stageEpoch, VersionOutcome outcome) {
        Counted counted = new Counted(model, version, stageEpoch);
        own.put(counted, own.getOrDefault(counted, VersionTotals.zero()).with(outcome));
    }

    /** Takes in another router's counts of a stage that is known here. */
    void receive(EvidenceReport report, Set<Long> knownStages) {
        EvidenceEntry entry = EvidenceCodec.toEntry(report);
        if (entry.nodeId().equals(nodeId) || !knownStages.contains(entry.stageEpoch())) {
            return;
        }
        EvidenceTable merged = others.merged(entry);
        if (merged != others) {
            others = merged;
            Counted counted = new Counted(entry.model(), entry.version(), entry.stageEpoch());
            unsent.put(new Origin(counted, entry.nodeId()), FORWARDS);
        }
    }

    /** Forgets stages that are over. */
    void retain(Set<Long> knownStages) {
        own.keySet().removeIf(counted -> !knownStages.contains(counted.stageEpoch()));
        unsent.keySet()
                .removeIf(origin -> !knownStages.contains(origin.counted().stageEpoch()));
        others = others.retaining(knownStages::contains);
    }

    /** The sum over all routers. */
    VersionTotals pooled(String model, String version, long stageEpoch) {
        VersionTotals counted = own.getOrDefault(new Counted(model, version, stageEpoch), VersionTotals.zero());
        return counted.plus(others.pooled(model, version, stageEpoch));
    }

    /** Reports for a peer: all own counts and news of others, within a bound. */
    List<EvidenceReport> reports(int maximum) {
        List<EvidenceReport> reports = new ArrayList<>();
        own.forEach((counted, totals) -> reports.add(report(counted, nodeId, totals)));
        for (Origin origin : List.copyOf(unsent.keySet())) {
            if (reports.size() >= maximum) {
                break;
            }
            unsent.remove(origin);
            Counted counted = origin.counted();
            VersionTotals totals =
                    others.nodeTotals(counted.model(), counted.version(), origin.nodeId(), counted.stageEpoch());
            reports.add(report(counted, origin.nodeId(), totals));
        }
        return reports;
    }

    private static EvidenceReport report(Counted counted, String origin, VersionTotals totals) {
        return EvidenceCodec.toReport(
                new EvidenceEntry(counted.model(), counted.version(), origin, counted.stageEpoch(), totals));
    }
}
