package org.baobabcart.policy.placement;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.Placement;
import org.baobabcart.model.sheet.Sheet;

/**
 * Desired placements of one data centre. Immutable.
 *
 * @param engines the desired number of engines by version, in the order of the sheet; zero for versions that are absent
 * @param withdrawn versions that must not be loaded
 */
public record DesiredPlacements(Map<ModelVersion, Integer> engines, Set<ModelVersion> withdrawn) {
    /** Copies the map, in its order, and the set. */
    public DesiredPlacements {
        engines = Collections.unmodifiableMap(new LinkedHashMap<>(engines));
        withdrawn = Set.copyOf(withdrawn);
    }

    /**
     * Returns the desired placements of a data centre according to the sheet and the withdrawals of roll-outs since
     * then.
     */
    public static DesiredPlacements of(Sheet sheet, RollOutState rollOuts, String dataCentre) {
        Map<ModelVersion, Integer> engines = new LinkedHashMap<>();
        for (Placement placement : sheet.placements()) {
            if (placement.dataCentre().equals(dataCentre)) {
                engines.put(ModelVersion.of(placement.model(), placement.version()), placement.engines());
            }
        }
        Set<ModelVersion> withdrawn = new HashSet<>();
        sheet.withdrawals()
                .forEach(withdrawal -> withdrawn.add(ModelVersion.of(withdrawal.model(), withdrawal.version())));
        rollOuts.withdrawals()
                .forEach(withdrawal -> withdrawn.add(ModelVersion.of(withdrawal.model(), withdrawal.version())));
        return new DesiredPlacements(engines, withdrawn);
    }

    /** Returns whether there are no placements for the data centre. */
    public boolean isEmpty() {
        return engines.isEmpty();
    }

    /** Returns the desired number of engines of a version; zero if it is withdrawn. */
    public int count(ModelVersion target) {
        return withdrawn.contains(target) ? 0 : engines.getOrDefault(target, 0);
    }

    /** Returns whether any engine is desired for the model. */
    boolean isModelDesired(String model) {
        return engines.keySet().stream().anyMatch(target -> target.model().equals(model) && count(target) > 0);
    }

    /** Returns the models with placements, whose engines may be moved to other versions. */
    Set<String> models() {
        Set<String> models = new TreeSet<>();
        engines.keySet().forEach(target -> models.add(target.model()));
        return models;
    }
}
