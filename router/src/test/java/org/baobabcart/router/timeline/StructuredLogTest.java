package org.baobabcart.router.timeline;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class StructuredLogTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int LINES_PER_SECOND = 400;

    private final ManualTimerService timers = ManualTimerService.create();
    private final MetricRegistry metrics = new MetricRegistry();

    @Test
    void writesAnEventAsAJsonObjectWithTypedFields() throws IOException {
        try (Reader reader = new Reader()) {
            StructuredLog log = StructuredLog.start("a", timers, reader.output, LINES_PER_SECOND, metrics);
            log.record(
                    EventType.REQUEST_DISPATCHED,
                    "r\"1",
                    EventFields.of(EventField.UPSTREAM, "engine\n7").with(EventField.WAITED_MS, 12));
            JsonNode line = reader.next();
            assertThat(line.path("event").asText(), is("REQUEST_DISPATCHED"));
            assertThat(line.path("request").asText(), is("r\"1"));
            assertThat(line.path("node").asText(), is("a"));
            assertThat(line.path("upstream").asText(), is("engine\n7"));
            assertThat(line.path("waited_ms").isIntegralNumber(), is(true));
        }
    }

    @Test
    void countsDroppedLinesAndReportsThemInTheNextLineOfTheType() throws IOException {
        try (Reader reader = new Reader()) {
            StructuredLog log = StructuredLog.start("a", timers, reader.output, LINES_PER_SECOND, metrics);
            for (int line = 0; line < LINES_PER_SECOND + 25; line++) {
                log.record(EventType.REQUEST_RECEIVED, "r", EventFields.none());
            }
            log.record(EventType.REQUEST_FINISHED, "r", EventFields.none());
            timers.advance(Duration.ofSeconds(1));
            log.record(EventType.REQUEST_RECEIVED, "later", EventFields.none());
            for (int line = 0; line < LINES_PER_SECOND; line++) {
                assertThat(reader.next().path("request").asText(), is("r"));
            }
            assertThat(reader.next().path("event").asText(), is("REQUEST_FINISHED"));
            JsonNode later = reader.next();
            assertThat(later.path("request").asText(), is("later"));
            assertThat(later.path("left_out").asInt(), is(25));
            assertThat(metrics.counter("log.lines-left-out").getCount(), is(25L));
        }
    }

    /**
     * Each event type has its own limit of lines per second, so all types are recorded for several seconds to fill the
     * queue.
     */
    @Test
    void recordingDoesNotBlockOnABlockedOutputAndTheQueueIsBounded() {
        BlockedOutput blocked = new BlockedOutput();
        StructuredLog log = StructuredLog.start("a", timers, blocked, LINES_PER_SECOND, metrics);
        int recorded = 0;
        long startNanos = System.nanoTime();
        for (int second = 0; second < 30; second++) {
            for (EventType type : EventType.values()) {
                for (int line = 0; line < LINES_PER_SECOND; line++) {
                    log.record(type, "r", EventFields.none());
                    recorded++;
                }
            }
            timers.advance(Duration.ofSeconds(1));
        }
        long microsPerRecord = Duration.ofNanos(System.nanoTime() - startNanos).toNanos() / 1_000 / recorded;
        long dropped = metrics.counter("log.lines-left-out").getCount();
        assertThat(dropped, greaterThan(recorded * 9L / 10));
        assertThat((int) (recorded - dropped), lessThanOrEqualTo(5_000));
        // Blocking on the output would never return; the bound shows only that no call blocks.
        assertThat(microsPerRecord, lessThan(1_000L));
        blocked.release();
    }

    @Test
    void logRecordsAreWrittenAsNoteEvents() throws IOException {
        try (Reader reader = new Reader()) {
            StructuredLog log = StructuredLog.start("a", timers, reader.output, LINES_PER_SECOND, metrics);
            LogRecord message = new LogRecord(Level.WARNING, "event=x \"quoted\"");
            message.setLoggerName("org.baobabcart.Part");
            message.setThrown(new IllegalStateException("broken"));
            LogRecordHandler.to(log).publish(message);
            JsonNode line = reader.next();
            assertThat(line.path("event").asText(), is("NOTE"));
            assertThat(line.path("state").asText(), is("WARNING"));
            assertThat(line.path("source").asText(), is("org.baobabcart.Part"));
            assertThat(line.path("cause").asText(), containsString("\"quoted\""));
            assertThat(line.path("cause").asText(), containsString("broken"));
        }
    }

    /** Reads the lines written to {@code output}. */
    private static final class Reader implements AutoCloseable {
        private final PipedInputStream input = new PipedInputStream(1 << 20);
        private final PipedOutputStream output;

        private Reader() throws IOException {
            output = new PipedOutputStream(input);
        }

        private JsonNode next() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int read = input.read(); read != '\n'; read = input.read()) {
                line.append((char) read);
            }
            return MAPPER.readTree(line.toString().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void close() throws IOException {
            input.close();
        }
    }

    /** A stream whose writes block until {@link #release}, like a full pipe. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void write(int single) {
            try {
                released.await();
            } catch (InterruptedException interrupted) {
                throw new UncheckedIOException(new IOException(interrupted));
            }
        }

        private void release() {
            released.countDown();
        }
    }
}
