package org.baobabcart.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A line of a router's log. The fields must not be modified after construction.
 *
 * @param timeMillis the time in milliseconds since the epoch, from the router's clock
 * @param node the name of the router
 * @param event the type of the event
 * @param request the id of the request, or empty if the event does not belong to a request
 * @param fields the additional fields of the event
 */
public record LogLine(long timeMillis, String node, String event, String request, ObjectNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final DateTimeFormatter TIME_OF_DAY =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final Set<String> ENVELOPE = Set.of("sequence", "time_ms", "node", "event", "request");

    /** Parses a line. Text before the first brace, such as a timestamp added by a log collector, is ignored. */
    static Optional<LogLine> parse(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode tree = MAPPER.readTree(text.substring(begin));
            boolean isEvent = tree instanceof ObjectNode && tree.hasNonNull("event") && tree.hasNonNull("node");
            if (!isEvent) {
                return Optional.empty();
            }
            ObjectNode fields = ((ObjectNode) tree).deepCopy();
            fields.remove(ENVELOPE);
            return Optional.of(new LogLine(
                    tree.path("time_ms").asLong(),
                    tree.path("node").asText(),
                    tree.path("event").asText(),
                    tree.path("request").asText(),
                    fields));
        } catch (JsonProcessingException exception) {
            // The line is truncated or was written by another program.
            return Optional.empty();
        }
    }

    /** Returns a copy with a different time. */
    LogLine withTime(long newTimeMillis) {
        return new LogLine(newTimeMillis, node, event, request, fields);
    }

    /** Returns the time of day in UTC. */
    public String timeOfDay() {
        return TIME_OF_DAY.format(Instant.ofEpochMilli(timeMillis));
    }

    /** Returns the value of a field as text, or an empty string if it is missing. */
    String field(String name) {
        return fields.path(name).asText("");
    }

    /** Returns the fields as {@code name=value} pairs separated by spaces. */
    public String detail() {
        List<String> parts = new ArrayList<>();
        fields.properties()
                .forEach(entry ->
                        parts.add(entry.getKey() + "=" + entry.getValue().asText()));
        return String.join(" ", parts);
    }
}
