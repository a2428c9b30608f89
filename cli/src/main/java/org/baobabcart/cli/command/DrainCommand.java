package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** {@code drain ROUTER}: starts the planned stop of a router. */
final class DrainCommand implements Command {
    private static final String ROUTER = "ROUTER";

    @Override
    public List<String> words() {
        return List.of("drain");
    }

    @Override
    public String help() {
        return "start the planned stop of a router, which first completes its running requests";
    }

    @Override
    public List<String> positionals() {
        return List.of(ROUTER);
    }

    @Override
    public List<Flag> flags() {
        return CommonFlags.fleet();
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        String name = arguments.positional(ROUTER);
        FleetRouter router = PlatformObjects.finder(arguments, context)
                .find()
                .router(name)
                .filter(found -> !found.adminAddress().isEmpty())
                .orElseThrow(() -> BaobabcartException.of(ResultCode.NOT_FOUND, "no live router has this name")
                        .withLocation(name));
        PlatformObjects.await(context.admin().post(router.adminAddress(), "/drain"));
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(new Report(name, router.adminAddress(), true));
        } else {
            context.output().line(name + " has begun its planned stop");
        }
        return ExitCode.OK;
    }

    private record Report(String router, String adminAddress, boolean draining) {}
}
