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

/** Checks that docs/EVENTS.md lists exactly the events and fields of the code, with the same descriptions. */
class EventDocumentTest {
    private static final Path DOCUMENT = Path.of("..", "docs", "EVENTS.md");

    @Test
    void documentMatchesEventTypesAndFields() throws IOException {
        List<String> rows = Files.readAllLines(DOCUMENT).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
        assertThat(String.join("\n", rows), is(String.join("\n", expected())));
    }

    @Test
    void everyFieldIsUsedByAnEventType() {
        List<EventField> used = new ArrayList<>(List.of(EventField.LEFT_OUT));
        Arrays.stream(EventType.values()).forEach(type -> used.addAll(type.fields()));
        List<EventField> unused = Stream.of(EventField.values())
                .filter(field -> !used.contains(field))
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
