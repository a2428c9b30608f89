package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabcart.model.request.EventId;

/**
 * Values that one attempt sends to an upstream in addition to the caller's own headers. Immutable.
 *
 * @param upstream the name of the addressed upstream
 * @param timeLeft the time until the request's deadline
 * @param workspace the workspace of the key holder, if the request needs a key
 * @param model the selected model, if the caller did not name one
 * @param rank the rank, zero being the most urgent
 * @param resumeAfter the id of the last event that the caller has received, if a stream is resumed
 */
public record AttemptMetadata(
        String upstream,
        Duration timeLeft,
        Optional<String> workspace,
        Optional<String> model,
        int rank,
        Optional<EventId> resumeAfter) {}
