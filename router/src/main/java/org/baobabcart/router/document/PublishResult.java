package org.baobabcart.router.document;

import org.baobabcart.policy.document.PublishOutcome;

/**
 * How a publish ended. Immutable.
 *
 * @param outcome what is known of the publisher's own document
 * @param document the document that stands in the platform: the own one, or the winner's
 * @param <T> the immutable type of the document
 */
public record PublishResult<T>(PublishOutcome outcome, T document) {
    /** Whether the publisher's own document was accepted and still stands there. */
    public boolean accepted() {
        return outcome == PublishOutcome.ACCEPTED;
    }
}
