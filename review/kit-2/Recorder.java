import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with seconds since its start. Thread-safe. */
final class Recorder {
    private final PrintWriter file;
    private final long beginNanos = System.nanoTime();

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), true);
    }

    synchronized void note(String text, Object... values) {
        double seconds = (System.nanoTime() - beginNanos) / 1e9;
        file.println(String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, text, values));
    }

    /** Writes a line of the result to the record and to standard output. */
    void result(String text, Object... values) {
        note(text, values);
        System.out.println(String.format(Locale.ROOT, text, values));
    }
}
