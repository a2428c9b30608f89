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
 * One line of a router's log. Immutable by contract: nobody changes the fields after construction.
 *
 * @param timeMillis when, in milliseconds since the epoch on the router's clock
 * @param node the router
 * @param event the event's type
 * @param request the request concerned, or empty
 * @param fields what the event states
 */
public record LogLine(long timeMillis, String node, String event, String request, ObjectNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final DateTimeFormatter TIME_OF_DAY =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final Set<String> ENVELOPE = Set.of("sequence", "time_ms", "node", "event", "request");

    /** Reads a line; whatever stands before its first brace, such as a collector's time, is passed over. */
    static Optional<LogLine> parse(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode tree = MAPPER.readTree(text.substring(begin));
            boolean ours = tree instanceof ObjectNode && tree.hasNonNull("event") && tree.hasNonNull("node");
            if (!ours) {
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
            // A line that was cut off, or of another program: neither tells of a request.
            return Optional.empty();
        }
    }

    /** The same line at another time. */
    LogLine withTime(long newTimeMillis) {
        return new LogLine(newTimeMillis, node, event, request, fields);
    }

    /** The time of day in UTC. */
    public String timeOfDay() {
        return TIME_OF_DAY.format(Instant.ofEpochMilli(timeMillis));
    }

    /** The value of a field as a text; empty where there is none. */
    String field(String name) {
        return fields.path(name).asText("");
    }

    /** The fields as {@code name=value}, with a blank between two. */
    public String detail() {
        List<String> parts = new ArrayList<>();
        fields.properties()
                .forEach(entry ->
                        parts.add(entry.getKey() + "=" + entry.getValue().asText()));
        return String.join(" ", parts);
    }
}
