package org.baobabcart.cli.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * A flag and the environment variable that stands for it. Immutable.
 *
 * @param name the flag with its two dashes
 * @param toggle whether it takes no value
 * @param fallback the value where neither the flag nor the variable is given
 * @param help one line for the help text
 */
public record Flag(String name, boolean toggle, Optional<String> fallback, String help) {
    private static final String PREFIX = "BAOBABCART_";

    /** A flag with a value and no default. */
    public static Flag of(String name, String help) {
        return new Flag(name, false, Optional.empty(), help);
    }

    /** A flag that is given or not. */
    public static Flag toggle(String name, String help) {
        return new Flag(name, true, Optional.of("false"), help);
    }

    /** The same flag with a default. */
    public Flag withDefault(String value) {
        return new Flag(name, toggle, Optional.of(value), help);
    }

    /** The environment variable: the flag in upper case with underscores. */
    public String environmentVariable() {
        return PREFIX + key().toUpperCase(Locale.ROOT);
    }

    /** The name without dashes in front and with underscores inside. */
    public String key() {
        return name.substring(2).replace('-', '_');
    }
}
