package org.baobabcart.bench;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a measurement gave. Immutable.
 *
 * @param name the measurement
 * @param seed its seed
 * @param figures figures by name, in the order of the report
 * @param bounds what had to be reached; empty where no bound was set
 */
public record MeasurementResult(String name, long seed, Map<String, Object> figures, List<Bound> bounds) {
    /** Copies the collections and keeps their order. */
    public MeasurementResult {
        figures = Collections.unmodifiableMap(new LinkedHashMap<>(figures));
        bounds = List.copyOf(bounds);
    }

    /** Whether every bound was reached. */
    public boolean reached() {
        return bounds.stream().allMatch(Bound::reached);
    }
}
