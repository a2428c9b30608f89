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
public final class CascadeKnowledge {
    private static final String OTHER_KINDS = "";

    private final CascadeSettings settings;
    private final Map<String, Map<StepKey, PassRecord>> records;

    private CascadeKnowledge(CascadeSettings settings, Map<String, Map<StepKey, PassRecord>> records) {
        this.settings = settings;
        this.records = records;
    }

    private record StepKey(String reference, boolean escalated) {}

    /** Nothing known. */
    public static CascadeKnowledge empty(CascadeSettings settings) {
        return new CascadeKnowledge(settings, Map.of());
    }

    /**
     * The knowledge after one more rated answer.
     *
     * @param kind the kind of work
     * @param reference the step's model or version
     * @param escalated whether an earlier step had been tried for the same request
     * @param passed whether the rating reached the target
     */
    public CascadeKnowledge withAnswer(String kind, String reference, boolean escalated, boolean passed) {
        String counted = countedAs(kind);
        StepKey key = new StepKey(reference, escalated);
        Map<StepKey, PassRecord> steps = new HashMap<>(records.getOrDefault(counted, Map.of()));
        steps.put(key, steps.getOrDefault(key, PassRecord.empty()).with(passed, settings.memory()));
        Map<String, Map<StepKey, PassRecord>> changed = new HashMap<>(records);
        changed.put(counted, Map.copyOf(steps));
        return new CascadeKnowledge(settings, changed);
    }

    /** The record of a step for a kind of work, without any prior. */
    PassRecord record(String kind, String reference, boolean escalated) {
        Map<StepKey, PassRecord> steps = records.getOrDefault(countedAs(kind), Map.of());
        return Optional.ofNullable(steps.get(new StepKey(reference, escalated))).orElse(PassRecord.empty());
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
