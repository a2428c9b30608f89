package org.baobabcart.router.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** The head of a response is accepted or rejected by its syntax alone, wherever a fault stands. */
class ResponseHeadSyntaxTest {
    private static final String TOKEN = "!#$%&'*+-.^_`|~0123456789ABCXYZabcxyz";
    private static final List<String> NO_TOKEN =
            List.of(" ", "\t", "\u0000", "\u0001", "\u007f", "(", "/", "\u00e4", "\"");

    @Provide
    Arbitrary<String> headers() {
        Arbitrary<String> names = Arbitraries.strings()
                .withChars(TOKEN.toCharArray())
                .ofMinLength(1)
                .ofMaxLength(8);
        Arbitrary<String> values = Arbitraries.strings()
                .withChars(" \t:;=HTTP/1.20abc".toCharArray())
                .ofMaxLength(12);
        return Combinators.combine(names, values).as((name, value) -> name + ":" + value);
    }

    @Provide
    Arbitrary<List<String>> lines() {
        return headers().list().ofMaxSize(4);
    }

    private static String head(String status, String reason, List<String> lines) {
        return "HTTP/1.1 " + status + reason + "\r\n"
                + lines.stream().map(line -> line + "\r\n").collect(Collectors.joining()) + "\r\n";
    }

    private static boolean isRejected(String head) {
        ResponseHeadSyntax syntax = new ResponseHeadSyntax();
        for (byte next : head.getBytes(StandardCharsets.ISO_8859_1)) {
            syntax.read(next);
        }
        return syntax.violation().isPresent();
    }

    @Property(tries = 500, seed = "6003")
    void properHeadIsAccepted(@ForAll @IntRange(min = 100, max = 599) int status, @ForAll("lines") List<String> lines) {
        for (String reason : List.of("", " ", " OK", " I'm a teapot: 1")) {
            String head = head(Integer.toString(status), reason, lines);
            assertThat(head, isRejected(head), is(false));
            assertThat(head, isRejected(head.replace("\r\n", "\n")), is(false));
        }
    }

    @Property(tries = 500, seed = "6004")
    void statusOutsideItsRangeIsRejected(
            @ForAll @IntRange(max = 99_999) int number, @ForAll("lines") List<String> lines) {
        boolean isStatus = number >= 100 && number <= 599;
        assertThat(isRejected(head(Integer.toString(number), " OK", lines)), is(!isStatus));
        for (String prefix : List.of("+", "-", " ", "0", "\t")) {
            assertThat(isRejected(head(prefix + number, " OK", lines)), is(!isThreeDigits(prefix + number)));
        }
    }

    private static boolean isThreeDigits(String status) {
        return status.matches("[1-5][0-9][0-9]");
    }

    @Property(tries = 500, seed = "6005")
    void nameThatIsNoTokenIsRejectedWhereverItStands(
            @ForAll("lines") List<String> before,
            @ForAll("headers") String header,
            @ForAll @IntRange(max = 8) int place,
            @ForAll("lines") List<String> after) {
        int index = Math.min(place, header.indexOf(':'));
        for (String bad : NO_TOKEN) {
            String spoiled = header.substring(0, index) + bad + header.substring(index);
            List<String> lines = new ArrayList<>(before);
            lines.add(spoiled);
            lines.addAll(after);
            assertThat(spoiled, isRejected(head("200", " OK", lines)), is(true));
        }
    }
}
