package org.baobabcart.cli.command;

import java.util.List;
import java.util.stream.Stream;
import org.baobabcart.cli.settings.Flag;

/** Lists of flags. */
final class Flags {
    private Flags() {}

    static List<Flag> with(List<Flag> common, Flag... own) {
        return Stream.concat(Stream.of(own), common.stream()).toList();
    }
}
