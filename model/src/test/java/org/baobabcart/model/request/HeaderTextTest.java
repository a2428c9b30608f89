package org.baobabcart.model.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Names beyond ISO 8859-1 once reached upstreams as question marks, so that different names became one. */
class HeaderTextTest {
    @Property
    void sendableTextsArriveAsTheyAre(@ForAll @StringLength(max = 20) String text) {
        if (!HeaderText.isSendable(text)) {
            return;
        }
        String sent = HeaderText.encode(text);
        assertThat(sent.chars().allMatch(character -> character >= ' ' && character <= 0xff), is(true));
        assertThat(sent.strip().length() == sent.length() || sent.charAt(sent.length() - 1) > 0x7f, is(true));
        assertThat(HeaderText.decode(sent), is(text));
    }

    @Property
    void asciiTextsAreUnchanged(@ForAll @CharRange(to = 0x7f) String text) {
        assertThat(HeaderText.encode(text), is(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " a", "a ", "\ta", "a\r\nb: c", "a\nb", "a\0b", "a\u007f", "\ud800", "a\udc00b"})
    void textsThatWouldArriveAsOthersAreNotSendable(String text) {
        assertThat(HeaderText.isSendable(text), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "50%", "a b", "\u00e9", "\u12a0\u122b\u12f3", "\ud83d\ude00", "\u0085x"})
    void otherTextsAreSendable(String text) {
        assertThat(HeaderText.isSendable(text), is(true));
    }
}
