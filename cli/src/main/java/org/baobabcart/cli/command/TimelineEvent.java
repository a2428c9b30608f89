package org.baobabcart.cli.command;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/**
 * An event of a router. Immutable.
 *
 * @param clock the hybrid logical clock, which orders events of different routers
 * @param wallClockMillis when, in milliseconds since the epoch on the router's clock
 * @param node the router
 * @param type the event's type
 * @param requestId the request concerned, or empty
 * @param detail a short text
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record TimelineEvent(long clock, long wallClockMillis, String node, String type, String requestId, String detail) {
    private static final DateTimeFormatter TIME_OF_DAY =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final int SHORT_ID_LENGTH = 8;

    String timeOfDay() {
        return TIME_OF_DAY.format(Instant.ofEpochMilli(wallClockMillis));
    }

    String shortRequestId() {
        String id = requestId == null ? "" : requestId;
        return id.length() <= SHORT_ID_LENGTH ? id : id.substring(0, SHORT_ID_LENGTH);
    }
}
