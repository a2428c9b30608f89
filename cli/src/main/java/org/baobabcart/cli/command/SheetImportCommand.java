package org.baobabcart.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.cli.sheet.SheetImport;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;

/** {@code sheet import FOLDER}: creates a validated sheet from a folder of CSV files. */
final class SheetImportCommand implements Command {
    private static final String FOLDER = "FOLDER";
    private static final Flag OUTPUT = Flag.of("--output", "file to write the sheet to instead of standard output");

    @Override
    public List<String> words() {
        return List.of("sheet", "import");
    }

    @Override
    public String help() {
        return "create a validated sheet from a folder with one CSV file per table";
    }

    @Override
    public List<String> positionals() {
        return List.of(FOLDER);
    }

    @Override
    public List<Flag> flags() {
        return List.of(OUTPUT);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Sheet sheet = SheetImport.read(folder(arguments.positional(FOLDER)));
        Optional<String> output = arguments.optional(OUTPUT);
        if (output.isPresent()) {
            write(output.get(), SheetReader.create().write(sheet).toPrettyString());
            context.output().note(sheet.name() + " written to " + output.get());
        } else {
            context.output().json(SheetReader.create().write(sheet));
        }
        return ExitCode.OK;
    }

    private static Path folder(String text) {
        try {
            return Path.of(text);
        } catch (InvalidPathException exception) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "is not a folder")
                    .withLocation(text)
                    .withCause(exception);
        }
    }

    private static void write(String file, String text) {
        try {
            Files.writeString(Path.of(file), text + System.lineSeparator());
        } catch (IOException | InvalidPathException exception) {
            throw Arguments.invalidValue(OUTPUT, file, "the path of a writable file")
                    .withCause(exception);
        }
    }
}
