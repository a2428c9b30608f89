package org.baobabcart.policy.admission;

import java.time.Duration;
import org.baobabcart.model.result.ResultCode;

/**
 * Work that is refused. Immutable.
 *
 * @param entry the work
 * @param code why
 * @param retryAfter when it may have better luck
 * @param <T> the type of what would have been started
 */
public record Rejection<T>(Entry<T> entry, ResultCode code, Duration retryAfter) {}
