package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, in milliseconds since the start. */
public final class Record implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    public Record(Path file) throws IOException {
        writer = new PrintWriter(file.toFile(), "UTF-8");
    }

    public long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void line(String text) {
        writer.printf("%7d %s%n", millis(), text);
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
