package org.baobabcart.launcher;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The line that a process prints when it serves. Immutable.
 *
 * @param ports the numbers of its ports by their names
 */
record ReadyLine(Map<String, Integer> ports) {
    private static final String PREFIX = "READY ";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a line; empty if it is another one. */
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
