package org.baobabcart.launcher;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Line that a process prints on standard output when it is ready to serve requests. Immutable.
 *
 * @param ports the port numbers by port name
 */
record ReadyLine(Map<String, Integer> ports) {
    private static final String PREFIX = "READY ";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a line of output; returns empty if it is not a valid ready line. */
    static Optional<ReadyLine> parse(String line) {
        if (!line.startsWith(PREFIX)) {
            return Optional.empty();
        }
        try {
            JsonNode ports = MAPPER.readTree(line.substring(PREFIX.length())).path("ports");
            Map<String, Integer> numbers = new TreeMap<>();
            ports.properties()
                    .forEach(entry ->
                            numbers.put(entry.getKey(), entry.getValue().asInt()));
            return Optional.of(new ReadyLine(numbers));
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }
}
