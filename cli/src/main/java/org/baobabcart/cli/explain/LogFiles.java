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
 * Log files of one router or several, in any order, read line by line so that large ones need little memory. Not thread-safe.
 *
 * <p>A router's clock can be set back while it runs. Its lines stay in their order: none is taken for earlier than the one
 * before it.
 */
public final class LogFiles {
    private final List<Path> files;

    private LogFiles(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * The files of these names.
     *
     * @throws BaobabcartException with {@code BAD_SETTING} and the file's name where one cannot be read
     */
    public static LogFiles of(List<String> names) {
        List<Path> files = new ArrayList<>();
        for (String name : names) {
            files.add(readable(name));
        }
        return new LogFiles(files);
    }

    /** The lines that are wanted, in the order of their files. */
    public List<LogLine> lines(Predicate<LogLine> wanted) {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            Map<String, Long> latest = new HashMap<>();
            // Bytes that are no text must not end the reading, and this encoding accepts all.
            try (Stream<String> texts = Files.lines(file, StandardCharsets.ISO_8859_1)) {
                texts.map(LogFiles::decoded)
                        .forEach(text -> LogLine.parse(text).ifPresent(line -> {
                            long time = Math.max(line.timeMillis(), latest.getOrDefault(line.node(), Long.MIN_VALUE));
                            latest.put(line.node(), time);
                            LogLine ordered = line.withTime(time);
                            if (wanted.test(ordered)) {
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
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "there is no such file to read")
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
