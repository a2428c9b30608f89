package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.router.platform.ObjectStore;

/**
 * {@code rollout pause|resume|withdraw MODEL VERSION}: changes the roll-out state and waits until all live routers
 * apply it.
 */
final class RollOutChangeCommand implements Command {
    private static final String MODEL = "MODEL";
    private static final String VERSION = "VERSION";

    private final RollOutAction action;

    private RollOutChangeCommand(RollOutAction action) {
        this.action = action;
    }

    static RollOutChangeCommand pause() {
        return new RollOutChangeCommand(RollOutAction.PAUSE);
    }

    static RollOutChangeCommand resume() {
        return new RollOutChangeCommand(RollOutAction.RESUME);
    }

    static RollOutChangeCommand withdraw() {
        return new RollOutChangeCommand(RollOutAction.WITHDRAW);
    }

    @Override
    public List<String> words() {
        return List.of("rollout", action.word());
    }

    @Override
    public String help() {
        return action.help();
    }

    @Override
    public List<String> positionals() {
        return List.of(MODEL, VERSION);
    }

    @Override
    public List<Flag> flags() {
        return CommonFlags.change();
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        String model = arguments.positional(MODEL);
        String version = arguments.positional(VERSION);
        ObjectStore store = PlatformObjects.store(arguments, context);
        Sheet sheet = PlatformObjects.currentSheet(store)
                .map(PublishedSheet::sheet)
                .orElseThrow(() -> BaobabcartException.of(ResultCode.NOT_FOUND, "no sheet has been published"));
        checkDeclared(sheet, model, version);
        RollOutState state = DocumentChanges.in(store)
                .changeRollOuts((before, writeId) -> action.apply(before, sheet, model, version, writeId));
        return ChangeReport.awaitAndPrint(
                action.word() + " " + model + "@" + version,
                state.generation(),
                status -> status.rollOuts().generation() >= state.generation(),
                arguments,
                context);
    }

    private static void checkDeclared(Sheet sheet, String model, String version) {
        boolean declared =
                sheet.model(model).flatMap(found -> found.version(version)).isPresent();
        if (!declared) {
            throw BaobabcartException.of(ResultCode.UNKNOWN_MODEL).withLocation(model + "@" + version);
        }
    }
}
