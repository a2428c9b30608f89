package org.baobabcart.policy.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What ratings have shown of each step for each kind of work. Immutable.
 *
 * <p>Answers given first and answers given after an earlier step had failed are counted apart, because work on which
 * one model fails is harder for the others too. Kinds beyond the bound share one record.
 */
public final class CascadeStatistics {
    private static final String OTHER_KINDS = "";

    private final CascadeSettings settings;
    private final Map<String, Map<StepKey, PassRate>> records;

    private CascadeStatistics(CascadeSettings settings, Map<String, Map<StepKey, PassRate>> records) {
        this.settings = settings;
        this.records = records;
    }

    private record StepKey(String reference, boolean escalated) {}

    /** Nothing known. */
    public static CascadeStatistics empty(CascadeSettings settings) {
        return new CascadeStatistics(settings, Map.of());
    }

    /**
     * The knowledge after one more rated answer.
     *
     * @param kind the kind of work
     * @param reference the step's model or version
     * @param escalated whether an earlier step had been tried for the same request
     * @param passed whether the rating reached the target
     */
    public CascadeStatistics withAnswer(String kind, String reference, boolean escalated, boolean passed) {
        String counted = countedAs(kind);
        StepKey key = new StepKey(reference, escalated);
        Map<StepKey, PassRate> steps = new HashMap<>(records.getOrDefault(counted, Map.of()));
        steps.put(key, steps.getOrDefault(key, PassRate.empty()).with(passed, settings.memory()));
        Map<String, Map<StepKey, PassRate>> changed = new HashMap<>(records);
        changed.put(counted, Map.copyOf(steps));
        return new CascadeStatistics(settings, changed);
    }

    /** The record of a step for a kind of work, without any prior. */
    PassRate record(String kind, String reference, boolean escalated) {
        Map<StepKey, PassRate> steps = records.getOrDefault(countedAs(kind), Map.of());
        return Optional.ofNullable(steps.get(new StepKey(reference, escalated))).orElse(PassRate.empty());
    }

    /** The number of kinds told apart. */
    int kinds() {
        return records.size();
    }

    private String countedAs(String kind) {
        boolean known = records.containsKey(kind) || records.size() < settings.maximumKinds();
        return known ? kind : OTHER_KINDS;
    }
}
