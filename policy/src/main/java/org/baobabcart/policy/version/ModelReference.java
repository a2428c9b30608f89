package org.baobabcart.policy.version;

import java.util.Optional;

/**
 * A reference to a model or to one of its versions, as used in requests and cascade steps. Immutable.
 *
 * @param model the model's name
 * @param version the version's name; empty if the reference names only the model
 */
public record ModelReference(String model, Optional<String> version) {
    private static final char SEPARATOR = '@';

    /** Parses {@code model} or {@code model@version}. */
    public static ModelReference parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return new ModelReference(text, Optional.empty());
        }
        return new ModelReference(text.substring(0, separator), Optional.of(text.substring(separator + 1)));
    }
}
