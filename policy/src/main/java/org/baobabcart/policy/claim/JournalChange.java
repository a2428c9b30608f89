package org.baobabcart.policy.claim;

import java.util.List;

/**
 * The effect of operations on a journal. Immutable.
 *
 * @param journal the journal after the operations
 * @param results the results, in the order of the operations
 * @param changed whether the journal has to be written before the results are valid
 */
public record JournalChange(ClaimJournal journal, List<ClaimResult> results, boolean changed) {
    /** Copies the list. */
    public JournalChange {
        results = List.copyOf(results);
    }
}
