package org.baobabcart.cli.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;

/**
 * Settings of the demo. Immutable.
 *
 * @param dataCentres the names of the data centres
 * @param routersPerDataCentre the number of routers in each data centre
 * @param engines the total number of engines, distributed round-robin over the data centres
 * @param seed the seed of workspace keys and prompts
 * @param hold whether to keep the fleet running until the process is terminated instead of running the scenario
 * @param describe the file to which a description of the running fleet is written
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
            Flag.of("--engines", "total number of engines in all data centres").withDefault("6");
    static final Flag SEED = Flag.of("--seed", "seed of keys and prompts").withDefault("1");
    static final Flag HOLD =
            Flag.toggle("--hold", "keep the fleet running until SIGTERM instead of running the scenario");
    static final Flag DESCRIBE =
            Flag.of("--describe", "file to which a description of the fleet is written when it is ready");

    private static final int MAX_DATA_CENTRES = 10;
    private static final int MAX_ROUTERS = 20;
    private static final int MAX_ENGINES = 100;

    /** Copies the names. */
    public DemoSettings {
        dataCentres = List.copyOf(dataCentres);
    }

    /** Creates settings from command-line arguments. */
    static DemoSettings of(Arguments arguments) {
        List<String> names = new ArrayList<>();
        long count = arguments.number(DATA_CENTRES, 1, MAX_DATA_CENTRES);
        for (int index = 0; index < count; index++) {
            names.add(String.valueOf((char) ('a' + index)));
        }
        return new DemoSettings(
                names,
                (int) arguments.number(ROUTERS_PER_DATA_CENTRE, 1, MAX_ROUTERS),
                (int) arguments.number(ENGINES, 1, MAX_ENGINES),
                arguments.number(SEED, 0, Long.MAX_VALUE),
                arguments.isSet(HOLD),
                arguments.optional(DESCRIBE).map(Path::of));
    }
}
