package org.baobabcart.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;

/** Reads sheets from files. */
final class SheetFiles {
    /** Maximum size of an object that the platform accepts. */
    private static final long MAX_BYTES = 1_000_000;

    private static final SheetReader READER = SheetReader.create();

    private SheetFiles() {}

    /** Reads and validates the sheet in a file. */
    static Sheet read(String file) {
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_BYTES) {
                throw BaobabcartException.of(
                                ResultCode.SHEET_INVALID, "the file is larger than " + MAX_BYTES + " bytes")
                        .withLocation(file);
            }
            return READER.read(Files.readString(path));
        } catch (IOException | InvalidPathException exception) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "the file cannot be read: " + exception)
                    .withLocation(file)
                    .withCause(exception);
        }
    }
}
