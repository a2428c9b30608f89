package org.baobabcart.router.timeline;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.baobabcart.router.control.TimerService;

/**
 * Writes events to a stream as lines of JSON. Thread-safe; recording never blocks on the stream.
 *
 * <p>Events are dropped beyond a number of lines per second and type, and while the queue is full because the stream is
 * read too slowly. The number of dropped lines is counted and written with the next line of the same type
 * ({@link EventField#LEFT_OUT}).
 */
public final class StructuredLog implements Timeline {
    /** The capacity of the queue to the writer thread, in lines. */
    private static final int MAX_QUEUED_LINES = 4_096;
    /** The default limit for each type, in lines per second: a few hundred requests with some events each. */
    public static final int DEFAULT_LINES_PER_SECOND = 400;

    /** The maximum number of lines in one write: about 100 kB. */
    private static final int MAX_BATCH_LINES = 512;

    /** How long the writer collects lines for one write: the events of several requests cost one wake-up. */
    private static final Duration BATCH_DELAY = Duration.ofMillis(20);

    /** The time limit for the last writes: they complete at once, or not at all if nobody reads the stream. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final JsonFactory JSON = new JsonFactory();

    private final String node;
    private final TimerService timers;
    private final OutputStream output;
    private final BlockingQueue<TimelineEvent> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Map<EventType, LineBudget> budgets = new EnumMap<>(EventType.class);
    private final Counter written;
    private final Counter dropped;
    private final Thread writer = new Thread(this::write, "log-writer");
    private long sequence;

    private StructuredLog(
            String node, TimerService timers, OutputStream output, int linesPerSecond, MetricRegistry metrics) {
        this.node = node;
        this.timers = timers;
        this.output = output;
        this.written = metrics.counter("log.lines");
        this.dropped = metrics.counter("log.lines-left-out");
        for (EventType type : EventType.values()) {
            budgets.put(type, new LineBudget(linesPerSecond));
        }
    }

    /**
     * Creates a log and starts its writer as a daemon thread.
     *
     * @param linesPerSecond the limit for each type of event; zero drops all lines
     */
    public static StructuredLog start(
            String node, TimerService timers, OutputStream output, int linesPerSecond, MetricRegistry metrics) {
        StructuredLog log = new StructuredLog(node, timers, output, linesPerSecond, metrics);
        log.writer.setDaemon(true);
        log.writer.start();
        return log;
    }

    /** Writes the queued lines and stops the writer; returns after at most 200 ms, even if nobody reads the stream. */
    public void close() {
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void record(EventType type, String requestId, EventFields fields) {
        long now = timers.nanoTime();
        TimelineEvent event;
        synchronized (this) {
            LineBudget budget = budgets.get(type);
            if (!budget.tryAcquire(now)) {
                dropped.inc();
                return;
            }
            sequence++;
            event = new TimelineEvent(
                    sequence, timers.wallClockMillis(), node, type, requestId, withDropped(fields, budget));
        }
        if (!queue.offer(event)) {
            countDropped(type);
        }
    }

    private synchronized void countDropped(EventType type) {
        dropped.inc();
        budgets.get(type).dropped++;
    }

    private static EventFields withDropped(EventFields fields, LineBudget budget) {
        if (budget.dropped == 0) {
            return fields;
        }
        EventFields extended = fields.with(EventField.LEFT_OUT, budget.dropped);
        budget.dropped = 0;
        return extended;
    }

    private void write() {
        try {
            while (true) {
                TimelineEvent first = queue.take();
                try {
                    Thread.sleep(BATCH_DELAY.toMillis());
                } finally {
                    writeBatch(first);
                }
            }
        } catch (InterruptedException closing) {
            drainQueue();
        } catch (IOException closed) {
            // The reader has closed the stream, and there is no other place to report it.
            queue.clear();
        }
    }

    private void drainQueue() {
        try {
            for (TimelineEvent event = queue.poll(); event != null; event = queue.poll()) {
                writeBatch(event);
            }
        } catch (IOException closed) {
            // The reader has closed the stream, and there is no other place to report it.
            queue.clear();
        }
    }

    private void writeBatch(TimelineEvent first) throws IOException {
        StringBuilder lines = new StringBuilder();
        int count = 0;
        for (TimelineEvent event = first; event != null; event = count < MAX_BATCH_LINES ? queue.poll() : null) {
            lines.append(line(event)).append('\n');
            count++;
        }
        output.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
        written.inc(count);
    }

    private static String line(TimelineEvent event) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("sequence", event.clock());
            json.writeNumberField("time_ms", event.wallClockMillis());
            json.writeStringField("node", event.node());
            json.writeStringField("event", event.type().name());
            if (!event.requestId().isEmpty()) {
                json.writeStringField("request", event.requestId());
            }
            event.detail().forEach((field, value) -> write(json, field, value));
            json.writeEndObject();
        }
        return text.toString();
    }

    private static void write(JsonGenerator json, EventField field, Object value) {
        try {
            json.writeFieldName(field.text());
            json.writeObject(value);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Limits the lines of one type within windows of one second. Guarded by the lock of the log. */
    private static final class LineBudget {
        private final int linesPerSecond;
        private long windowStartNanos;
        private int lines;
        private long dropped;

        private LineBudget(int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }

        private boolean tryAcquire(long nowNanos) {
            if (nowNanos - windowStartNanos >= NANOS_PER_SECOND) {
                windowStartNanos = nowNanos;
                lines = 0;
            }
            lines++;
            if (lines > linesPerSecond) {
                dropped++;
                return false;
            }
            return true;
        }
    }
}
