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
 * Arguments of a command invocation. A flag takes precedence over its environment variable, which takes precedence over
 * the default. Immutable. Accessors fail with {@link ResultCode#BAD_SETTING}; the message names the flag, the value and
 * the accepted values.
 */
public final class Arguments {
    private final Map<String, String> supplied;
    private final Map<String, String> environment;

    private Arguments(Map<String, String> supplied, Map<String, String> environment) {
        this.supplied = Map.copyOf(supplied);
        this.environment = Map.copyOf(environment);
    }

    /** Creates arguments from the command-line values by key and from the environment variables. */
    public static Arguments of(Map<String, String> supplied, Map<String, String> environment) {
        return new Arguments(supplied, environment);
    }

    /** Returns the value of a positional argument. */
    public String positional(String name) {
        return supplied.get(name);
    }

    /** Returns the list of words stored under a name, such as the unparsed words after a command. */
    public List<String> remaining(String name) {
        String words = supplied.getOrDefault(name, "");
        return words.isEmpty() ? List.of() : List.of(words.split("\n"));
    }

    /** Returns the environment variables. */
    public Map<String, String> environment() {
        return environment;
    }

    /** Returns the value of a flag, or empty if it is not set or blank. */
    public Optional<String> optional(Flag flag) {
        String value = supplied.get(flag.key());
        if (value == null) {
            value = environment.get(flag.environmentVariable());
        }
        return Optional.ofNullable(value).or(flag::defaultValue).filter(text -> !text.isBlank());
    }

    /** Returns the value of a required flag. */
    public String text(Flag flag) {
        return optional(flag).orElseThrow(() -> invalidValue(flag, "", "a value"));
    }

    /** Returns the value of a boolean flag. */
    public boolean isSet(Flag flag) {
        String value = text(flag);
        if (value.equalsIgnoreCase("true") || value.equalsIgnoreCase("false")) {
            return Boolean.parseBoolean(value);
        }
        throw invalidValue(flag, value, "true or false");
    }

    /** Returns an integer value between two inclusive limits. */
    public long number(Flag flag, long min, long max) {
        String value = text(flag);
        try {
            long number = Long.parseLong(value.trim());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException exception) {
            throw invalidValue(flag, value, "a whole number from " + min + " to " + max)
                    .withCause(exception);
        }
        throw invalidValue(flag, value, "a whole number from " + min + " to " + max);
    }

    /** Returns a duration given in seconds, at least one second. */
    public Duration seconds(Flag flag, long max) {
        return Duration.ofSeconds(number(flag, 1, max));
    }

    /** Returns a required HTTP address without trailing slash. */
    public String address(Flag flag) {
        return optionalAddress(flag).orElseThrow(() -> invalidValue(flag, "", "an address such as http://host:port"));
    }

    /** Returns an HTTP address without trailing slash, or empty if the flag is not set. */
    public Optional<String> optionalAddress(Flag flag) {
        return optional(flag).map(value -> checkedAddress(flag, value));
    }

    /** Returns the comma-separated values of a flag. */
    public List<String> list(Flag flag) {
        return optional(flag).stream()
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(String::trim)
                .filter(value -> !value.isEmpty())
                .toList();
    }

    /** Returns the exception for a flag with an invalid value. */
    public static BaobabcartException invalidValue(Flag flag, String value, String accepted) {
        String detail =
                "'" + value + "' is not accepted; expected " + accepted + " (" + flag.environmentVariable() + ")";
        return BaobabcartException.of(ResultCode.BAD_SETTING, detail).withLocation(flag.name());
    }

    private static String checkedAddress(Flag flag, String value) {
        try {
            URI uri = URI.create(value);
            boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            if (isHttp && uri.getHost() != null) {
                return value.endsWith("/") ? value.substring(0, value.length() - 1) : value;
            }
        } catch (IllegalArgumentException exception) {
            throw invalidValue(flag, value, "an address such as http://host:port")
                    .withCause(exception);
        }
        throw invalidValue(flag, value, "an address such as http://host:port");
    }
}
