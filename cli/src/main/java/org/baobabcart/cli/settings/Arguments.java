package org.baobabcart.cli.settings;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * The arguments of one call of a command: a flag goes before its environment variable, which goes before the default.
 * Immutable. Each accessor fails with {@link ResultCode#BAD_SETTING} naming the flag, the value and what is accepted.
 */
public final class Arguments {
    private final Map<String, String> given;
    private final Map<String, String> environment;

    private Arguments(Map<String, String> given, Map<String, String> environment) {
        this.given = Map.copyOf(given);
        this.environment = Map.copyOf(environment);
    }

    /** Arguments from the command line, by key, and the environment. */
    public static Arguments of(Map<String, String> given, Map<String, String> environment) {
        return new Arguments(given, environment);
    }

    /** A positional argument. */
    public String positional(String name) {
        return given.get(name);
    }

    /** The words after the command that it passes on. */
    public List<String> remaining(String name) {
        String words = given.getOrDefault(name, "");
        return words.isEmpty() ? List.of() : List.of(words.split("\n"));
    }

    /** The environment variables. */
    public Map<String, String> environment() {
        return environment;
    }

    /** The value of a flag, if there is any. */
    public Optional<String> optional(Flag flag) {
        String value = given.get(flag.key());
        if (value == null) {
            value = environment.get(flag.environmentVariable());
        }
        return Optional.ofNullable(value).or(flag::fallback).filter(text -> !text.isBlank());
    }

    /** The value of a flag that must be there. */
    public String text(Flag flag) {
        return optional(flag).orElseThrow(() -> bad(flag, "", "a value"));
    }

    /** Whether a toggle is on. */
    public boolean isSet(Flag flag) {
        String value = text(flag);
        if (value.equalsIgnoreCase("true") || value.equalsIgnoreCase("false")) {
            return Boolean.parseBoolean(value);
        }
        throw bad(flag, value, "true or false");
    }

    /** A whole number within bounds, both included. */
    public long number(Flag flag, long least, long most) {
        String value = text(flag);
        try {
            long number = Long.parseLong(value.trim());
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException exception) {
            throw bad(flag, value, "a whole number from " + least + " to " + most)
                    .withCause(exception);
        }
        throw bad(flag, value, "a whole number from " + least + " to " + most);
    }

    /** A number of seconds, at least one. */
    public Duration seconds(Flag flag, long most) {
        return Duration.ofSeconds(number(flag, 1, most));
    }

    /** An HTTP address without a slash at its end. */
    public String address(Flag flag) {
        return optionalAddress(flag).orElseThrow(() -> bad(flag, "", "an address such as http://host:port"));
    }

    /** An HTTP address without a slash at its end, if there is any. */
    public Optional<String> optionalAddress(Flag flag) {
        return optional(flag).map(value -> checkedAddress(flag, value));
    }

    /** Values separated by commas. */
    public List<String> list(Flag flag) {
        return optional(flag).stream()
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(String::trim)
                .filter(value -> !value.isEmpty())
                .toList();
    }

    /** The failure of a flag that has a value that cannot be used. */
    public static BaobabcartException bad(Flag flag, String value, String accepted) {
        String detail =
                "'" + value + "' is not accepted; expected " + accepted + " (" + flag.environmentVariable() + ")";
        return BaobabcartException.of(ResultCode.BAD_SETTING, detail).withLocation(flag.name());
    }

    private static String checkedAddress(Flag flag, String value) {
        try {
            URI uri = URI.create(value);
            boolean web = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            if (web && uri.getHost() != null) {
                return value.endsWith("/") ? value.substring(0, value.length() - 1) : value;
            }
        } catch (IllegalArgumentException exception) {
            throw bad(flag, value, "an address such as http://host:port").withCause(exception);
        }
        throw bad(flag, value, "an address such as http://host:port");
    }
}
