package org.baobabcart.router.document;

import org.baobabcart.policy.document.PublishOutcome;

/**
 * Result of publishing a document. Immutable.
 *
 * @param outcome the outcome of the publisher's own write
 * @param document the document in the platform: the publisher's own or that of a concurrent publisher
 * @param <T> the immutable type of the document
 */
public record PublishResult<T>(PublishOutcome outcome, T document) {
    /** Returns whether the publisher's document was accepted and is still the current one. */
    public boolean accepted() {
        return outcome == PublishOutcome.ACCEPTED;
    }
}
