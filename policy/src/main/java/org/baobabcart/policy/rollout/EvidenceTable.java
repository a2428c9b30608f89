package org.baobabcart.policy.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;

/**
 * The counts of all nodes. Immutable.
 *
 * <p>This is a grow-only counter (Shapiro, Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types",
 * 2011): each node counts its own outcomes, the later of two counts of one node replaces the other, and the pooled
 * total is the sum over all nodes. The result does not depend on the order or number of deliveries.
 */
public final class EvidenceTable {
    private static final EvidenceTable EMPTY = new EvidenceTable(Map.of());

    private final Map<Key, VersionTotals> totals;

    private EvidenceTable(Map<Key, VersionTotals> totals) {
        this.totals = totals;
    }

    private record Key(String model, String version, String nodeId, long stageEpoch) {
        private static Key of(EvidenceEntry entry) {
            return new Key(entry.model(), entry.version(), entry.nodeId(), entry.stageEpoch());
        }
    }

    /** Returns an empty table. */
    public static EvidenceTable empty() {
        return EMPTY;
    }

    /** Merges a node's counts. Returns this table if it already has the same or later counts of that node. */
    public EvidenceTable merged(EvidenceEntry entry) {
        Key key = Key.of(entry);
        VersionTotals current = totals.get(key);
        if (current != null && current.observations() >= entry.totals().observations()) {
            return this;
        }
        Map<Key, VersionTotals> changed = new HashMap<>(totals);
        changed.put(key, entry.totals());
        return new EvidenceTable(changed);
    }

    /** Returns a table with only those stages whose epoch matches the predicate. */
    public EvidenceTable retaining(LongPredicate stageEpochs) {
        Map<Key, VersionTotals> retained = totals.entrySet().stream()
                .filter(entry -> stageEpochs.test(entry.getKey().stageEpoch()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return retained.size() == totals.size() ? this : new EvidenceTable(retained);
    }

    /** Returns the counts of one node. */
    public VersionTotals nodeTotals(String model, String version, String nodeId, long stageEpoch) {
        return totals.getOrDefault(new Key(model, version, nodeId, stageEpoch), VersionTotals.zero());
    }

    /** Returns the sum of the counts of all nodes. */
    public VersionTotals pooled(String model, String version, long stageEpoch) {
        return totals.entrySet().stream()
                .filter(entry -> entry.getKey().stageEpoch() == stageEpoch)
                .filter(entry -> entry.getKey().version().equals(version))
                .filter(entry -> entry.getKey().model().equals(model))
                .map(Map.Entry::getValue)
                .reduce(VersionTotals.zero(), VersionTotals::plus);
    }

    /** Returns all entries, for exchange with other nodes. */
    public List<EvidenceEntry> entries() {
        return totals.entrySet().stream()
                .map(entry -> new EvidenceEntry(
                        entry.getKey().model(),
                        entry.getKey().version(),
                        entry.getKey().nodeId(),
                        entry.getKey().stageEpoch(),
                        entry.getValue()))
                .toList();
    }
}
