package org.baobabcart.policy.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * The windows of a stage: the whole stage and the latest ones. Immutable.
 *
 * <p>A version that turns bad after many good answers is found by evidence that begins anew, not by the whole stage, in
 * which the good answers outweigh the bad ones (Shin, Ramdas and Rinaldo, "E-detectors: a nonparametric framework for
 * sequential change detection", 2022). A window's number decides how much of the bound on false stops it may use, so
 * that the sum over all windows stays within it.
 *
 * @param recent the latest windows, the oldest first
 * @param lastNumber the number of the latest window
 */
public record EvidenceWindows(List<EvidenceWindow> recent, long lastNumber) {
    private static final int MAX_RECENT_WINDOWS = 16;
    private static final long OUTCOMES_PER_WINDOW = 8;
    private static final EvidenceWindows INITIAL = new EvidenceWindows(List.of(), 1);

    /** Copies the list. */
    public EvidenceWindows {
        recent = List.copyOf(recent);
    }

    /** The windows at the beginning of a stage. */
    public static EvidenceWindows initial() {
        return INITIAL;
    }

    /** The windows of a node that begins to judge at these totals, numbered as if it had done so all along. */
    public static EvidenceWindows startingAt(VersionTotals newTotals, VersionTotals oldTotals) {
        long number = 1 + newTotals.outcomes() / OUTCOMES_PER_WINDOW;
        return number == 1
                ? INITIAL
                : new EvidenceWindows(List.of(new EvidenceWindow(number, newTotals, oldTotals)), number);
    }

    /** The windows at these totals: with another one if enough was seen since the last one began. */
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

    /** The whole stage and the latest windows. */
    List<EvidenceWindow> all() {
        List<EvidenceWindow> windows = new ArrayList<>(recent);
        windows.add(EvidenceWindow.wholeStage());
        return windows;
    }
}
