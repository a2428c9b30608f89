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
 * What the sheet wants in one data centre. Immutable.
 *
 * @param engines the number of engines for each version, in the order of the sheet; versions that are not named are wanted
 *     on none
 * @param withdrawn versions of the models named that must not be loaded
 */
public record DesiredPlacements(Map<ModelVersion, Integer> engines, Set<ModelVersion> withdrawn) {
    /** Copies the map, in its order, and the set. */
    public DesiredPlacements {
        engines = Collections.unmodifiableMap(new LinkedHashMap<>(engines));
        withdrawn = Set.copyOf(withdrawn);
    }

    /** What the sheet and the withdrawals decided since want in a data centre. */
    public static DesiredPlacements of(Sheet sheet, RollOutState rollOuts, String dataCentre) {
        Map<ModelVersion, Integer> engines = new LinkedHashMap<>();
        for (Placement placement : sheet.placements()) {
            if (placement.dataCentre().equals(dataCentre)) {
                engines.put(ModelVersion.of(placement.model(), placement.version()), placement.engines());
            }
        }
        Set<ModelVersion> withdrawn = new HashSet<>();
        sheet.withdrawals().forEach(entry -> withdrawn.add(ModelVersion.of(entry.model(), entry.version())));
        rollOuts.withdrawals().forEach(entry -> withdrawn.add(ModelVersion.of(entry.model(), entry.version())));
        return new DesiredPlacements(engines, withdrawn);
    }

    /** Whether nothing is said of this data centre. */
    public boolean isEmpty() {
        return engines.isEmpty();
    }

    /** How many engines are to serve a version; none once it is withdrawn. */
    public int count(ModelVersion target) {
        return withdrawn.contains(target) ? 0 : engines.getOrDefault(target, 0);
    }

    /** Whether any version of the model is wanted. */
    boolean wantsModel(String model) {
        return engines.keySet().stream().anyMatch(target -> target.model().equals(model) && count(target) > 0);
    }

    /** Models whose engines may be given to other versions. */
    Set<String> models() {
        Set<String> models = new TreeSet<>();
        engines.keySet().forEach(target -> models.add(target.model()));
        return models;
    }
}
