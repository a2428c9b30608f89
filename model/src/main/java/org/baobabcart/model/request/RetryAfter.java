package org.baobabcart.model.request;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The value of a {@code Retry-After} header (RFC 9110, 10.2.3) in seconds, with an optional fraction. Stateless.
 *
 * <p>Dates are not understood, since the clocks of two VMs may differ by more than the time that is asked for.
 */
public final class RetryAfter {
    /** The longest time that is waited for; whoever still wants nothing by then says so again. */
    public static final Duration MAX_DELAY = Duration.ofMinutes(1);

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");

    private RetryAfter() {}

    /** The time, at most {@link #MAX_DELAY}; empty for a text that states none, which may be null. */
    public static Optional<Duration> parse(String text) {
        if (text == null || !SECONDS.matcher(text.strip()).matches()) {
            return Optional.empty();
        }
        double seconds = Math.min(MAX_DELAY.toSeconds(), Double.parseDouble(text.strip()));
        return Optional.of(
                Duration.ofNanos(Math.round(seconds * Duration.ofSeconds(1).toNanos())));
    }
}
