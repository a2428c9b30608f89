package org.baobabcart.model.sheet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SheetReaderTest {
    private final SheetReader reader = SheetReader.create();

    @Test
    void writtenSheetIsReadUnchanged() {
        Sheet sheet = reader.read(sample());
        assertThat(reader.read(reader.write(sheet)), equalTo(sheet));
    }

    @Test
    void emptyPlacementsAreOmitted() {
        Sheet without = reader.read(sample()).withPlacements(List.of());
        assertThat(reader.write(without).has("placements"), is(false));
        assertThat(reader.read(reader.write(without)), equalTo(without));
    }

    @Test
    void withWithdrawalKeepsPlacements() {
        Sheet sheet = reader.read(sample());
        Sheet withdrawn = sheet.withWithdrawal(new Withdrawal("layout-large", "v1"));
        assertThat(withdrawn.placements(), equalTo(sheet.placements()));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            "share": 1}  | "share": 0.9}  | $.models[1].versions: the shares add up to 0.9
            "v2", "stages" | "v3", "stages" | $.rollOuts[0].to: unknown model or version: layout-large@v3
            "weight": 1 | "weight": 0 | $.workspaces[0].weight
            "defaultRank": "normal" | "defaultRank": "low" | $.defaultRank
            "withdrawals" | "withdrawnVersions" | withdrawnVersions
            "targetMillis": 800 | "targetMillis": "soon" | $.ranks[0].targetMillis
            "services": ["orders"] | "services": ["stock"] | $.workspaces[0].services[0]
            "worth": 10, | "worth": null, | $.ranks[1].worth
            "engines": 2 | "engines": -2 | $.placements[0].engines
            "dataCentre": "a", "model": "layout-large", "version": "v2" | "dataCentre": "a/b", "model": "layout-large", "version": "v2" | $.placements[0].dataCentre
            "version": "v2", "engines" | "version": "v9", "engines" | $.placements[0].version: unknown model or version: layout-large@v9
            "version": "v2", "engines" | "version": "v1", "engines" | $.placements[1]: is not unique
            "engines": 0 | "count": 0 | $.placements[1].engines
            "engines": 0 | "engines": 0, "count": 1 | count
            """)
    void invalidSheetIsReportedWithPath(String original, String replacement, String expected) {
        BaobabcartException exception =
                assertThrows(BaobabcartException.class, () -> reader.read(sample().replace(original, replacement)));
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
