package org.baobabcart.policy.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * The windows of a stage: the whole stage and the most recent windows. Immutable.
 *
 * <p>A version that turns bad after many good answers is detected by windows that start later, since in the whole stage
 * the good answers outweigh the bad ones (Shin, Ramdas and Rinaldo, "E-detectors: a nonparametric framework for
 * sequential change detection", 2022). The number of a window determines its share of the false-stop probability, so
 * that the sum over all windows stays within the bound.
 *
 * @param recent the most recent windows, oldest first
 * @param lastNumber the number of the most recent window
 */
public record EvidenceWindows(List<EvidenceWindow> recent, long lastNumber) {
    private static final int MAX_RECENT_WINDOWS = 16;
    private static final long OUTCOMES_PER_WINDOW = 8;
    private static final EvidenceWindows INITIAL = new EvidenceWindows(List.of(), 1);

    /** Copies the list. */
    public EvidenceWindows {
        recent = List.copyOf(recent);
    }

    /** Returns the windows at the start of a stage. */
    public static EvidenceWindows initial() {
        return INITIAL;
    }

    /**
     * Returns the windows of a node that starts judging at these totals, numbered as if it had judged from the start.
     */
    public static EvidenceWindows startingAt(VersionTotals newTotals, VersionTotals oldTotals) {
        long number = 1 + newTotals.outcomes() / OUTCOMES_PER_WINDOW;
        return number == 1
                ? INITIAL
                : new EvidenceWindows(List.of(new EvidenceWindow(number, newTotals, oldTotals)), number);
    }

    /**
     * Returns the windows at these totals, with a new window if there are enough outcomes since the last one started.
     */
    public EvidenceWindows updated(VersionTotals newTotals, VersionTotals oldTotals) {
        VersionTotals last = recent.isEmpty()
                ? VersionTotals.zero()
                : recent.get(recent.size() - 1).newStart();
        if (newTotals.outcomes() - last.outcomes() < OUTCOMES_PER_WINDOW) {
            return this;
        }
        List<EvidenceWindow> windows = new ArrayList<>(recent);
        windows.add(new EvidenceWindow(lastNumber + 1, newTotals, oldTotals));
        int surplus = Math.max(0, windows.size() - MAX_RECENT_WINDOWS);
        return new EvidenceWindows(windows.subList(surplus, windows.size()), lastNumber + 1);
    }

    /** Returns the whole stage and the most recent windows. */
    List<EvidenceWindow> all() {
        List<EvidenceWindow> windows = new ArrayList<>(recent);
        windows.add(EvidenceWindow.wholeStage());
        return windows;
    }
}
