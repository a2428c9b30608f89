package org.baobabcart.cli.explain;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Log files of one or more routers, in any order. Files are read line by line, so that large files need little memory.
 * Not thread-safe.
 *
 * <p>A router's clock can be set back while it runs. To keep the lines of a router in order, a line never gets an
 * earlier time than the line before it.
 */
public final class LogFiles {
    private final List<Path> files;

    private LogFiles(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * Creates the log files with the given names.
     *
     * @throws BaobabcartException with {@code BAD_SETTING} and the file name if a file cannot be read
     */
    public static LogFiles of(List<String> names) {
        List<Path> files = new ArrayList<>();
        for (String name : names) {
            files.add(readable(name));
        }
        return new LogFiles(files);
    }

    /** Returns the lines that satisfy a predicate, in file order. */
    public List<LogLine> lines(Predicate<LogLine> predicate) {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            Map<String, Long> latestTimes = new HashMap<>();
            // Unlike UTF-8, this encoding accepts any bytes, so that invalid bytes do not abort reading.
            try (Stream<String> texts = Files.lines(file, StandardCharsets.ISO_8859_1)) {
                texts.map(LogFiles::decoded)
                        .forEach(text -> LogLine.parse(text).ifPresent(line -> {
                            long time =
                                    Math.max(line.timeMillis(), latestTimes.getOrDefault(line.node(), Long.MIN_VALUE));
                            latestTimes.put(line.node(), time);
                            LogLine ordered = line.withTime(time);
                            if (predicate.test(ordered)) {
                                lines.add(ordered);
                            }
                        }));
            } catch (IOException | UncheckedIOException exception) {
                throw unreadable(file.toString(), exception);
            }
        }
        return lines;
    }

    private static String decoded(String text) {
        return new String(text.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private static Path readable(String name) {
        try {
            Path path = Path.of(name);
            if (Files.isRegularFile(path) && Files.isReadable(path)) {
                return path;
            }
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "the file does not exist or is not readable")
                    .withLocation(name);
        } catch (InvalidPathException exception) {
            throw unreadable(name, exception);
        }
    }

    private static BaobabcartException unreadable(String name, Exception cause) {
        return BaobabcartException.of(ResultCode.BAD_SETTING, "the file cannot be read: " + cause)
                .withLocation(name)
                .withCause(cause);
    }
}
