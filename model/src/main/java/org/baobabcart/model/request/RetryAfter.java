package org.baobabcart.model.request;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Parses {@code Retry-After} headers (RFC 9110, 10.2.3) in seconds, with an optional fraction. Stateless.
 *
 * <p>Dates are not supported, since the clocks of two VMs may differ by more than the requested delay.
 */
public final class RetryAfter {
    /** The upper bound of a delay. A server that needs a longer one can send the header again. */
    public static final Duration MAX_DELAY = Duration.ofMinutes(1);

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");

    private RetryAfter() {}

    /** Returns the delay, at most {@link #MAX_DELAY}, or empty if the text is null or not a number of seconds. */
    public static Optional<Duration> parse(String text) {
        if (text == null || !SECONDS.matcher(text.strip()).matches()) {
            return Optional.empty();
        }
        double seconds = Math.min(MAX_DELAY.toSeconds(), Double.parseDouble(text.strip()));
        return Optional.of(
                Duration.ofNanos(Math.round(seconds * Duration.ofSeconds(1).toNanos())));
    }
}
