package org.baobabcart.policy.admission;

import java.time.Duration;
import org.baobabcart.model.result.ResultCode;

/**
 * A refused entry. Immutable.
 *
 * @param entry the refused entry
 * @param code the reason
 * @param retryAfter the time after which the caller should retry
 * @param <T> the type of the work
 */
public record Rejection<T>(QueueEntry<T> entry, ResultCode code, Duration retryAfter) {}
