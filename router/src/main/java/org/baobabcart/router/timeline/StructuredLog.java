package org.baobabcart.router.timeline;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.baobabcart.router.control.TimerService;

/**
 * Writes events as JSON, one a line. Thread-safe; recording never blocks.
 *
 * <p>Each type of event has a budget of lines a second, and lines that a slow reader would hold up are left out. What was left
 * out is counted and told in a line of its own.
 */
public final class StructuredLog implements Timeline {
    /** The most lines that wait for the writer. */
    private static final int QUEUED_LINES = 4_096;
    /** The most lines of one type in a second: a few hundred requests with some events each. */
    private static final int LINES_PER_SECOND = 400;

    private static final Duration WRITER_WAIT = Duration.ofSeconds(1);
    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
    private static final JsonFactory JSON = new JsonFactory();

    private final String node;
    private final TimerService timers;
    private final OutputStream output;
    private final BlockingQueue<TimelineEvent> queue = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final Map<EventType, Budget> budgets = new EnumMap<>(EventType.class);
    private long sequence;

    private StructuredLog(String node, TimerService timers, OutputStream output) {
        this.node = node;
        this.timers = timers;
        this.output = output;
        for (EventType type : EventType.values()) {
            budgets.put(type, new Budget());
        }
    }

    /** A log whose writer has been started as a daemon thread. */
    public static StructuredLog start(String node, TimerService timers, OutputStream output) {
        StructuredLog log = new StructuredLog(node, timers, output);
        Thread writer = new Thread(log::write, "log-writer");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    @Override
    public void record(EventType type, String requestId, String detail) {
        long now = timers.nanoTime();
        TimelineEvent event;
        synchronized (this) {
            Budget budget = budgets.get(type);
            if (!budget.allows(now)) {
                return;
            }
            sequence++;
            event = new TimelineEvent(
                    sequence, timers.wallClockMillis(), node, type, requestId, withLeftOut(detail, budget));
        }
        if (!queue.offer(event)) {
            leaveOut(type);
        }
    }

    private synchronized void leaveOut(EventType type) {
        budgets.get(type).leftOut++;
    }

    private static String withLeftOut(String detail, Budget budget) {
        if (budget.leftOut == 0) {
            return detail;
        }
        String text = detail + " lines_left_out=" + budget.leftOut;
        budget.leftOut = 0;
        return text;
    }

    private void write() {
        try {
            while (true) {
                TimelineEvent event = queue.poll(WRITER_WAIT.toMillis(), TimeUnit.MILLISECONDS);
                if (event != null) {
                    writeAll(event);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (IOException closed) {
            // Nobody reads the log any more, and there is no other place to say so.
            queue.clear();
        }
    }

    private void writeAll(TimelineEvent first) throws IOException {
        StringBuilder lines = new StringBuilder();
        for (TimelineEvent event = first; event != null; event = queue.poll()) {
            lines.append(line(event)).append('\n');
        }
        output.write(lines.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        output.flush();
    }

    private static String line(TimelineEvent event) throws IOException {
        java.io.StringWriter text = new java.io.StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("sequence", event.clock());
            json.writeNumberField("time_ms", event.wallClockMillis());
            json.writeStringField("node", event.node());
            json.writeStringField("event", event.type().name());
            if (!event.requestId().isEmpty()) {
                json.writeStringField("request", event.requestId());
            }
            json.writeStringField("detail", event.detail());
            json.writeEndObject();
        }
        return text.toString();
    }

    /** Lines of one type in the present second. Guarded by the log. */
    private static final class Budget {
        private long secondBegan;
        private int lines;
        private long leftOut;

        private boolean allows(long nowNanos) {
            if (nowNanos - secondBegan >= NANOS_PER_SECOND) {
                secondBegan = nowNanos;
                lines = 0;
            }
            lines++;
            if (lines > LINES_PER_SECOND) {
                leftOut++;
                return false;
            }
            return true;
        }
    }
}
