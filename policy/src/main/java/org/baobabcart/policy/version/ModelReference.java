package org.baobabcart.policy.version;

import java.util.Optional;

/**
 * What a caller or a cascade step asks for: a model, or one version of it. Immutable.
 *
 * @param model the model's name
 * @param version the version's name, if one is named
 */
public record ModelReference(String model, Optional<String> version) {
    private static final char SEPARATOR = '@';

    /** Reads {@code model} or {@code model@version}. */
    public static ModelReference parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return new ModelReference(text, Optional.empty());
        }
        return new ModelReference(text.substring(0, separator), Optional.of(text.substring(separator + 1)));
    }
}
