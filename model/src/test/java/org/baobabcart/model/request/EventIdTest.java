package org.baobabcart.model.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.math.BigInteger;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ids that a limit on their length once took for no id. */
class EventIdTest {
    @Property
    void idsAreOrderedByTheirValue(@ForAll("digits") String first, @ForAll("digits") String second) {
        EventId firstId = EventId.parse(first).orElseThrow();
        EventId secondId = EventId.parse(second).orElseThrow();
        int expected = new BigInteger(first).compareTo(new BigInteger(second));
        assertThat(Integer.signum(firstId.compareTo(secondId)), is(expected));
        assertThat(firstId.equals(secondId), is(expected == 0));
        assertThat(firstId.toString(), is(first));
    }

    @Provide
    Arbitrary<String> digits() {
        Arbitrary<String> boundaries = Arbitraries.of(
                "0",
                "00",
                "007",
                "999999999",
                "999999999999999999",
                "1000000000000000000",
                "9223372036854775807",
                "9223372036854775808",
                "18446744073709551615",
                "18446744073709551616",
                "100000000000000000000");
        return Arbitraries.oneOf(
                boundaries, Arbitraries.strings().numeric().ofMinLength(1).ofMaxLength(40));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "-1", "+1", "1.0", "1e3", "0x1", "1 2", "one", "\u0661", "1\u0000"})
    void otherTextsAreNoIds(String text) {
        assertThat(EventId.parse(text), is(Optional.empty()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"7", " 7", "7 ", "\t7"})
    void surroundingWhiteSpaceIsIgnored(String text) {
        assertThat(EventId.parse(text).orElseThrow().toString(), is("7"));
    }

    @ParameterizedTest
    @ValueSource(ints = {EventId.MAX_DIGITS, EventId.MAX_DIGITS + 1})
    void lengthIsBounded(int length) {
        assertThat(EventId.parse("1".repeat(length)).isPresent(), is(length == EventId.MAX_DIGITS));
    }
}
