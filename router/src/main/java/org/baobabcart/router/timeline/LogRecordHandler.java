package org.baobabcart.router.timeline;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Records the messages of java.util.logging as events on a time line, so that all log lines of a process have the same
 * format and no thread that serves requests writes them. Thread-safe.
 */
public final class LogRecordHandler extends Handler {
    private static final String ROOT = "";

    private final Timeline timeline;
    private final SimpleFormatter formatter = new SimpleFormatter();

    private LogRecordHandler(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Creates a handler without installing it. */
    static LogRecordHandler to(Timeline timeline) {
        return new LogRecordHandler(timeline);
    }

    /** Replaces the handlers of the root logger by one that records to the time line. */
    public static void install(Timeline timeline) {
        Logger root = LogManager.getLogManager().getLogger(ROOT);
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(to(timeline));
    }

    @Override
    public void publish(LogRecord message) {
        if (!isLoggable(message)) {
            return;
        }
        Throwable thrown = message.getThrown();
        String text = formatter.formatMessage(message) + (thrown == null ? "" : " thrown: " + thrown);
        timeline.record(
                EventType.NOTE,
                EventFields.of(EventField.SOURCE, String.valueOf(message.getLoggerName()))
                        .with(EventField.STATE, message.getLevel().getName())
                        .with(EventField.CAUSE, text));
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
