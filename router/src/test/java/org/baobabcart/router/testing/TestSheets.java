package org.baobabcart.router.testing;

import java.util.List;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.Rank;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Withdrawal;

/** Small valid sheets. */
public final class TestSheets {
    private TestSheets() {}

    /** Returns a sheet with the model {@code layout} in the versions {@code v1} and {@code v2}. */
    public static Sheet named(String name) {
        Model model = new Model("layout", List.of(new Version("v1", 1, 0.9, 1), new Version("v2", 1, 0.9, 0)));
        List<Rank> ranks = List.of(new Rank("normal", 1_000, 1, 0));
        return new Sheet(
                name,
                "normal",
                ranks,
                List.of(model),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    /** Returns the same sheet with version {@code v2} withdrawn. */
    public static Sheet withdrawing(String name) {
        return named(name).withWithdrawal(new Withdrawal("layout", "v2"));
    }
}
