package org.baobabcart.model.sheet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SheetReaderTest {
    private final SheetReader reader = SheetReader.create();

    @Test
    void readsWhatItWrites() {
        Sheet sheet = reader.read(sample());
        assertThat(reader.read(reader.write(sheet)), equalTo(sheet));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            "share": 1}  | "share": 0.9}  | $.models[1].versions: the shares add up to 0.9
            "v2", "stages" | "v3", "stages" | $.rollOuts[0].to: names no model or version: layout-large@v3
            "weight": 1 | "weight": 0 | $.workspaces[0].weight
            "defaultRank": "normal" | "defaultRank": "low" | $.defaultRank
            "withdrawals" | "withdrawnVersions" | withdrawnVersions
            "targetMillis": 800 | "targetMillis": "soon" | $.ranks[0].targetMillis
            "services": ["orders"] | "services": ["stock"] | $.workspaces[0].services[0]
            "worth": 10, | "worth": null, | $.ranks[1].worth
            """)
    void namesThePathOfAFault(String original, String fault, String expected) {
        BaobabcartException exception =
                assertThrows(BaobabcartException.class, () -> reader.read(sample().replace(original, fault)));
        assertThat(exception.code(), equalTo(ResultCode.SHEET_INVALID));
        assertThat(exception.getMessage(), containsString(expected));
    }

    private static String sample() {
        try (InputStream stream = SheetReaderTest.class.getResourceAsStream("/sheet.json")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
