package org.baobabcart.router.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that docs/SETTINGS.md lists exactly the settings of the code. */
class SettingsDocumentTest {
    @Test
    void documentMatchesSettings() throws IOException {
        Path document = Path.of("..", "docs", "SETTINGS.md");
        List<String> rows = Files.readAllLines(document).stream()
                .filter(line -> line.startsWith("| `--"))
                .toList();
        assertThat(
                rows,
                is(Arrays.stream(Setting.values())
                        .map(SettingsDocumentTest::row)
                        .toList()));
    }

    private static String row(Setting setting) {
        String defaultText = setting.defaultValue()
                .map(value -> value.isEmpty() ? "empty" : "`" + value + "`")
                .orElse("required");
        return "| `" + setting.flag() + "` | `" + setting.environmentVariable() + "` | " + setting.help() + " | "
                + setting.accepted() + " | " + defaultText + " |";
    }
}
