package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What one attempt tells an upstream beside the caller's own headers. Immutable.
 *
 * @param upstream the name of the upstream that is meant
 * @param timeLeft the time after which nobody waits for the answer
 * @param workspace the workspace, where the request needs a key
 * @param model the model that was chosen, where the caller left it open
 * @param rank the urgency, zero being the most urgent
 * @param resumeAfter the last event that the caller has, where a stream goes on
 */
public record AttemptMetadata(
        String upstream,
        Duration timeLeft,
        Optional<String> workspace,
        Optional<String> model,
        int rank,
        OptionalLong resumeAfter) {}
