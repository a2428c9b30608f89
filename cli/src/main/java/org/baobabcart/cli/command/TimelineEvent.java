package org.baobabcart.cli.command;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/**
 * An event in the time line of a router. Immutable.
 *
 * @param clock the timestamp of the hybrid logical clock, which orders events of different routers
 * @param wallClockMillis the time in milliseconds since the epoch, from the router's clock
 * @param node the name of the router
 * @param type the type of the event
 * @param requestId the id of the request, or empty
 * @param detail a short description
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
