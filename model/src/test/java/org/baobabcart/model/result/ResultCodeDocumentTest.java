package org.baobabcart.model.result;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResultCodeDocumentTest {
    @Test
    void documentListsAllCodes() throws IOException {
        List<String> rows = Files.readAllLines(Path.of("..", "docs", "CODES.md")).stream()
                .filter(line -> line.startsWith("| 1"))
                .toList();
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(ResultCodeDocumentTest::row)
                .toList();
        assertThat(rows, equalTo(expected));
    }

    private static String row(ResultCode code) {
        return "| %d | %s | %d | %s | %s |"
                .formatted(
                        code.number(),
                        code.name(),
                        code.httpStatus(),
                        code.ran().text(),
                        code.summary());
    }
}
