package org.baobabcart.cli.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;

/**
 * The size of the demo's fleet and what to do with it. Immutable.
 *
 * @param dataCentres names of the data centres
 * @param routersPerDataCentre routers in each data centre
 * @param engines engines in all data centres together, dealt out in turn
 * @param seed the seed of keys and prompts
 * @param hold whether the fleet is left running until the process is asked to stop
 * @param describe the file that tells how to reach the fleet
 */
public record DemoSettings(
        List<String> dataCentres,
        int routersPerDataCentre,
        int engines,
        long seed,
        boolean hold,
        Optional<Path> describe) {
    static final Flag DATA_CENTRES =
            Flag.of("--data-centres", "number of data centres").withDefault("2");
    static final Flag ROUTERS_PER_DATA_CENTRE =
            Flag.of("--routers-per-data-centre", "routers in each data centre").withDefault("1");
    static final Flag ENGINES =
            Flag.of("--engines", "engines in all data centres together").withDefault("6");
    static final Flag SEED = Flag.of("--seed", "seed of keys and prompts").withDefault("1");
    static final Flag HOLD = Flag.toggle("--hold", "leave the fleet running until SIGTERM instead of the tour");
    static final Flag DESCRIBE = Flag.of("--describe", "file that is written once all is ready");

    private static final int MOST_DATA_CENTRES = 10;
    private static final int MOST_ROUTERS = 20;
    private static final int MOST_ENGINES = 100;

    /** Copies the names. */
    public DemoSettings {
        dataCentres = List.copyOf(dataCentres);
    }

    /** The settings given on a command line. */
    static DemoSettings of(Arguments arguments) {
        List<String> names = new ArrayList<>();
        long count = arguments.number(DATA_CENTRES, 1, MOST_DATA_CENTRES);
        for (int index = 0; index < count; index++) {
            names.add(String.valueOf((char) ('a' + index)));
        }
        return new DemoSettings(
                names,
                (int) arguments.number(ROUTERS_PER_DATA_CENTRE, 1, MOST_ROUTERS),
                (int) arguments.number(ENGINES, 1, MOST_ENGINES),
                arguments.number(SEED, 0, Long.MAX_VALUE),
                arguments.isSet(HOLD),
                arguments.optional(DESCRIBE).map(Path::of));
    }
}
