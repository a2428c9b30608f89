package org.baobabcart.model.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RetryAfterTest {
    @Test
    void parsesSecondsWithOptionalFraction() {
        assertThat(RetryAfter.parse("2"), is(Optional.of(Duration.ofSeconds(2))));
        assertThat(RetryAfter.parse(" 0.25 "), is(Optional.of(Duration.ofMillis(250))));
        assertThat(RetryAfter.parse("0"), is(Optional.of(Duration.ZERO)));
    }

    @Test
    void delayIsLimitedToMaximum() {
        assertThat(RetryAfter.parse("999999999999"), is(Optional.of(RetryAfter.MAX_DELAY)));
    }

    @Test
    void otherTextsAreIgnored() {
        for (String text : new String[] {
            "",
            "-1",
            "soon",
            "1e9",
            "NaN",
            "Infinity",
            "1.",
            ".5",
            "1,5",
            "9999999999999",
            "Wed, 21 Oct 2026 07:28:00 GMT"
        }) {
            assertThat(text, RetryAfter.parse(text), is(Optional.empty()));
        }
        assertThat(RetryAfter.parse(null), is(Optional.empty()));
    }

    @Property
    void anyTextIsParsedWithoutException(@ForAll String text) {
        RetryAfter.parse(text).ifPresent(time -> assertThat(time, lessThanOrEqualTo(RetryAfter.MAX_DELAY)));
    }
}
