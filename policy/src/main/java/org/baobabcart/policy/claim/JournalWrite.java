package org.baobabcart.policy.claim;

import java.util.List;

/**
 * A conditional update that was sent to the platform. Immutable.
 *
 * @param batch the operations contained in the update
 * @param change their effect, including the journal with the id of the write
 */
record JournalWrite(List<PendingOperation> batch, JournalChange change) {
    String writeId() {
        return change.journal().writeId();
    }

    List<JournalOwnerStep.OperationResult> operationResults() {
        return JournalOwnerStep.operationResults(batch, change.results());
    }
}
