package org.baobabcart.policy.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Pass rates of rated answers for each step and request class. Immutable.
 *
 * <p>Answers of a first step and answers after an escalation are counted separately, because work on which one model
 * fails is harder for the other models too. Request classes beyond the maximum share one set of pass rates.
 */
public final class CascadeStatistics {
    private static final String OTHER_CLASSES = "";

    private final CascadeSettings settings;
    private final Map<String, Map<StepKey, PassRate>> passRates;

    private CascadeStatistics(CascadeSettings settings, Map<String, Map<StepKey, PassRate>> passRates) {
        this.settings = settings;
        this.passRates = passRates;
    }

    private record StepKey(String reference, boolean escalated) {}

    /** Returns statistics without samples. */
    public static CascadeStatistics empty(CascadeSettings settings) {
        return new CascadeStatistics(settings, Map.of());
    }

    /**
     * Returns these statistics with one more rated answer.
     *
     * @param requestClass the request class
     * @param reference the step's model or version
     * @param escalated whether an earlier step was tried for the same request
     * @param passed whether the rating reached the target
     */
    public CascadeStatistics withAnswer(String requestClass, String reference, boolean escalated, boolean passed) {
        String countedClass = statisticsClass(requestClass);
        StepKey key = new StepKey(reference, escalated);
        Map<StepKey, PassRate> steps = new HashMap<>(passRates.getOrDefault(countedClass, Map.of()));
        steps.put(key, steps.getOrDefault(key, PassRate.empty()).with(passed, settings.memory()));
        Map<String, Map<StepKey, PassRate>> changed = new HashMap<>(passRates);
        changed.put(countedClass, Map.copyOf(steps));
        return new CascadeStatistics(settings, changed);
    }

    /** Returns the pass rate of a step for a request class, without a prior. */
    PassRate passRate(String requestClass, String reference, boolean escalated) {
        Map<StepKey, PassRate> steps = passRates.getOrDefault(statisticsClass(requestClass), Map.of());
        return Optional.ofNullable(steps.get(new StepKey(reference, escalated))).orElse(PassRate.empty());
    }

    /** Returns the number of request classes that are distinguished. */
    int requestClasses() {
        return passRates.size();
    }

    private String statisticsClass(String requestClass) {
        boolean known = passRates.containsKey(requestClass) || passRates.size() < settings.maximumRequestClasses();
        return known ? requestClass : OTHER_CLASSES;
    }
}
