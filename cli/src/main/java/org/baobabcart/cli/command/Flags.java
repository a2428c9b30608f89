package org.baobabcart.cli.command;

import java.util.List;
import java.util.stream.Stream;
import org.baobabcart.cli.settings.Flag;

/** Combines lists of flags. */
final class Flags {
    private Flags() {}

    static List<Flag> with(List<Flag> common, Flag... specific) {
        return Stream.concat(Stream.of(specific), common.stream()).toList();
    }
}
