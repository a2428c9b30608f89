package org.baobabcart.router.settings;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** The formats of values of settings, each with its check and a description for the help text. Thread-safe. */
enum ValueFormat {
    /** The name of a node or data centre. */
    NAME("1 to 63 letters, digits, dots, dashes or underscores", ValueFormat::isName),
    /** An address to bind to. */
    HOST("an IP number or host name", ValueFormat::isHost),
    /** An optional address to bind to. */
    OPTIONAL_HOST("empty, an IP number or a host name", text -> text.isEmpty() || isHost(text)),
    /** An optional host and port of this router as seen by others. */
    OPTIONAL_ADDRESS("empty or host:port with a port from 1 to 65535", ValueFormat::isOptionalAddress),
    /** A TCP port to bind to. */
    PORT("a whole number from 0 to 65535, 0 being any free port", text -> isNumber(text, 65_535)),
    /** The URL of an HTTP service. */
    URL("an absolute URL that begins with http:// or https:// and has a host", ValueFormat::isUrl),
    /** The URL of an optional HTTP service. */
    OPTIONAL_URL(
            "empty or an absolute URL that begins with http:// or https:// and has a host", ValueFormat::isOptionalUrl),
    /** A list of hosts and ports of peers. */
    ADDRESSES("empty or host:port, separated by commas", ValueFormat::areAddresses),
    /** The path of an optional file. */
    OPTIONAL_FILE("empty or the path of a file that can be read", ValueFormat::isOptionalFile),
    /** A duration in milliseconds. */
    MILLISECONDS("a whole number of milliseconds from 0 to 3600000", text -> isNumber(text, 3_600_000));

    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern HOST_PATTERN = Pattern.compile("[A-Za-z0-9.:_-]{1,255}");
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,255}:([0-9]{1,5})");
    private static final Pattern NUMBER_PATTERN = Pattern.compile("[0-9]{1,9}");

    private final String accepted;
    private final Predicate<String> check;

    ValueFormat(String accepted, Predicate<String> check) {
        this.accepted = accepted;
        this.check = check;
    }

    /** Returns the description of accepted values. */
    String accepted() {
        return accepted;
    }

    /** Returns whether a text has this format. */
    boolean accepts(String text) {
        return check.test(text);
    }

    /** Splits a list at commas and drops empty elements. */
    static List<String> splitList(String text) {
        return Arrays.stream(text.split(","))
                .map(String::trim)
                .filter(part -> !part.isEmpty())
                .toList();
    }

    private static boolean isName(String text) {
        return NAME_PATTERN.matcher(text).matches();
    }

    private static boolean isHost(String text) {
        return HOST_PATTERN.matcher(text).matches();
    }

    private static boolean isNumber(String text, int max) {
        return NUMBER_PATTERN.matcher(text).matches() && Integer.parseInt(text) <= max;
    }

    private static boolean isUrl(String text) {
        try {
            URI uri = URI.create(text);
            boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return isHttp && uri.getHost() != null;
        } catch (IllegalArgumentException exception) {
            return false;
        }
    }

    private static boolean isOptionalUrl(String text) {
        return text.isEmpty() || isUrl(text);
    }

    private static boolean isOptionalFile(String text) {
        return text.isEmpty() || Files.isReadable(Path.of(text));
    }

    private static boolean areAddresses(String text) {
        return splitList(text).stream().allMatch(ValueFormat::isAddress);
    }

    private static boolean isOptionalAddress(String text) {
        return text.isEmpty() || (isAddress(text) && portOf(text) > 0);
    }

    private static int portOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private static boolean isAddress(String text) {
        return ADDRESS_PATTERN.matcher(text).matches() && isNumber(text.substring(text.lastIndexOf(':') + 1), 65_535);
    }
}
