package org.baobabcart.router.timeline;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The page lists each event and field as the code has them, and nothing else. */
class EventDocumentTest {
    private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");

    @Test
    void thePageListsEachEventAndFieldAsTheCodeHasThem() throws IOException {
        List<String> rows = Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
        assertThat(String.join("\n", rows), is(String.join("\n", expected())));
    }

    @Test
    void eachFieldIsStatedBySomeEvent() {
        List<EventField> stated = new ArrayList<>(List.of(EventField.LEFT_OUT));
        Arrays.stream(EventType.values()).forEach(type -> stated.addAll(type.fields()));
        List<EventField> unused = Stream.of(EventField.values())
                .filter(field -> !stated.contains(field))
                .toList();
        assertThat(unused, is(List.of()));
    }

    private static List<String> expected() {
        List<String> rows = new ArrayList<>();
        for (EventType type : EventType.values()) {
            String fields = type.fields().stream()
                    .map(field -> "`" + field.text() + "`")
                    .collect(Collectors.joining(", "));
            rows.add("| `" + type.name() + "` | " + type.meaning() + " | " + fields + " |");
        }
        for (EventField field : EventField.values()) {
            rows.add("| `" + field.text() + "` | " + field.meaning() + " |");
        }
        return rows;
    }
}
