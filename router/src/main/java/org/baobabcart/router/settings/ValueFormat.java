package org.baobabcart.router.settings;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Forms of a setting's text, each with its check and what it accepts. Thread-safe. */
enum ValueFormat {
    /** The name of a node or data centre. */
    NAME("1 to 63 letters, digits, dots, dashes or underscores", ValueFormat::isName),
    /** An address to bind. */
    HOST("an IP number or host name", ValueFormat::isHost),
    /** An address to bind, or none. */
    OPTIONAL_HOST("empty, an IP number or a host name", text -> text.isEmpty() || isHost(text)),
    /** The address of this router as others see it, or none. */
    OPTIONAL_ADDRESS("empty or host:port with a port from 1 to 65535", ValueFormat::isOptionalAddress),
    /** A TCP port to bind. */
    PORT("a whole number from 0 to 65535, 0 being any free port", text -> isNumber(text, 65_535)),
    /** The address of an HTTP service. */
    URL("an absolute URL that begins with http:// or https:// and has a host", ValueFormat::isUrl),
    /** The address of an HTTP service that need not be there. */
    OPTIONAL_URL(
            "empty or an absolute URL that begins with http:// or https:// and has a host", ValueFormat::isOptionalUrl),
    /** Addresses of peers. */
    ADDRESSES("empty or host:port, separated by commas", ValueFormat::areAddresses),
    /** A file that need not be there. */
    OPTIONAL_FILE("empty or the path of a file that can be read", ValueFormat::isOptionalFile),
    /** A duration. */
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

    /** What is accepted, for people. */
    String accepted() {
        return accepted;
    }

    /** Whether the text has this form. */
    boolean accepts(String text) {
        return check.test(text);
    }

    /** The parts of a list separated by commas. */
    static List<String> split(String text) {
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

    private static boolean isNumber(String text, int greatest) {
        return NUMBER_PATTERN.matcher(text).matches() && Integer.parseInt(text) <= greatest;
    }

    private static boolean isUrl(String text) {
        try {
            URI uri = URI.create(text);
            boolean web = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            return web && uri.getHost() != null;
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
        return split(text).stream().allMatch(ValueFormat::isAddress);
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
