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
 * Holds the evidence counted by this router and the evidence received from others. Confined to the control thread.
 *
 * <p>Every exchange carries all local counts. A changed count of another router is forwarded in one exchange, those
 * pending longest first, so that the size of an exchange does not grow with the number of routers.
 */
final class EvidenceCounts {
    // Stored with each pending entry but not evaluated: an entry is forwarded in one exchange only.
    private static final int FORWARDS_PER_CHANGE = 3;

    private final String nodeId;
    private final Map<CountKey, VersionTotals> localCounts = new HashMap<>();
    private final Map<RemoteCountKey, Integer> pendingForwards = new LinkedHashMap<>();
    private EvidenceTable remoteCounts = EvidenceTable.empty();

    private EvidenceCounts(String nodeId) {
        this.nodeId = nodeId;
    }

    private record CountKey(String model, String version, long stageEpoch) {}

    private record RemoteCountKey(CountKey countKey, String nodeId) {}

    /** Creates empty counts; the id identifies this router and its incarnation. */
    static EvidenceCounts create(String nodeId) {
        return new EvidenceCounts(nodeId);
    }

    /** Adds an outcome observed by this router. */
    void add(String model, String version, long stageEpoch, VersionOutcome outcome) {
        CountKey countKey = new CountKey(model, version, stageEpoch);
        localCounts.put(
                countKey,
                localCounts.getOrDefault(countKey, VersionTotals.zero()).with(outcome));
    }

    /** Merges another router's counts if they belong to a stage that is active here. */
    void receive(EvidenceReport report, Set<Long> activeStages) {
        EvidenceEntry entry = EvidenceCodec.toEntry(report);
        if (entry.nodeId().equals(nodeId) || !activeStages.contains(entry.stageEpoch())) {
            return;
        }
        EvidenceTable merged = remoteCounts.merged(entry);
        if (merged != remoteCounts) {
            remoteCounts = merged;
            CountKey countKey = new CountKey(entry.model(), entry.version(), entry.stageEpoch());
            pendingForwards.put(new RemoteCountKey(countKey, entry.nodeId()), FORWARDS_PER_CHANGE);
        }
    }

    /** Removes the counts of all stages that are no longer active. */
    void retain(Set<Long> activeStages) {
        localCounts.keySet().removeIf(countKey -> !activeStages.contains(countKey.stageEpoch()));
        pendingForwards
                .keySet()
                .removeIf(
                        remoteKey -> !activeStages.contains(remoteKey.countKey().stageEpoch()));
        remoteCounts = remoteCounts.retaining(activeStages::contains);
    }

    /** Returns the totals over all routers. */
    VersionTotals pooled(String model, String version, long stageEpoch) {
        VersionTotals local = localCounts.getOrDefault(new CountKey(model, version, stageEpoch), VersionTotals.zero());
        return local.plus(remoteCounts.pooled(model, version, stageEpoch));
    }

    /**
     * Returns the reports for an exchange: all local counts, then pending counts of other routers while the list is
     * shorter than {@code maximum}.
     */
    List<EvidenceReport> reports(int maximum) {
        List<EvidenceReport> reports = new ArrayList<>();
        localCounts.forEach((countKey, totals) -> reports.add(report(countKey, nodeId, totals)));
        for (RemoteCountKey remoteKey : List.copyOf(pendingForwards.keySet())) {
            if (reports.size() >= maximum) {
                break;
            }
            pendingForwards.remove(remoteKey);
            CountKey countKey = remoteKey.countKey();
            VersionTotals totals = remoteCounts.nodeTotals(
                    countKey.model(), countKey.version(), remoteKey.nodeId(), countKey.stageEpoch());
            reports.add(report(countKey, remoteKey.nodeId(), totals));
        }
        return reports;
    }

    private static EvidenceReport report(CountKey countKey, String countedBy, VersionTotals totals) {
        return EvidenceCodec.toReport(
                new EvidenceEntry(countKey.model(), countKey.version(), countedBy, countKey.stageEpoch(), totals));
    }
}
