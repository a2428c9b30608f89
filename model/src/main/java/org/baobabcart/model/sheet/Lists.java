package org.baobabcart.model.sheet;

import java.util.ArrayList;
import java.util.List;

/** Creates immutable lists for the records of the sheet. */
final class Lists {
    private Lists() {}

    static <T> List<T> copyOrEmpty(List<T> values) {
        return values == null ? List.of() : List.copyOf(values);
    }

    static <T> List<T> append(List<T> values, T value) {
        List<T> result = new ArrayList<>(values);
        result.add(value);
        return List.copyOf(result);
    }
}
