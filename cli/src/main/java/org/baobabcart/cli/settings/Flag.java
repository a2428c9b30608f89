package org.baobabcart.cli.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * A command-line flag with an equivalent environment variable. Immutable.
 *
 * @param name the flag, including the two leading dashes
 * @param toggle whether the flag is boolean and takes no value
 * @param defaultValue the value if neither the flag nor the variable is set
 * @param help the one-line description for the help text
 */
public record Flag(String name, boolean toggle, Optional<String> defaultValue, String help) {
    private static final String PREFIX = "BAOBABCART_";

    /** Creates a flag that takes a value and has no default. */
    public static Flag of(String name, String help) {
        return new Flag(name, false, Optional.empty(), help);
    }

    /** Creates a boolean flag that is off by default. */
    public static Flag toggle(String name, String help) {
        return new Flag(name, true, Optional.of("false"), help);
    }

    /** Returns a copy with a default value. */
    public Flag withDefault(String value) {
        return new Flag(name, toggle, Optional.of(value), help);
    }

    /** Returns the name of the environment variable: the prefix and the key in upper case. */
    public String environmentVariable() {
        return PREFIX + key().toUpperCase(Locale.ROOT);
    }

    /** Returns the name without leading dashes, with underscores instead of dashes. */
    public String key() {
        return name.substring(2).replace('-', '_');
    }
}
