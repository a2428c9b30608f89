package org.baobabcart.standins.base;

import io.vertx.core.json.JsonObject;

/** Reads fault values from JSON. The value {@code false} ends a fault. */
public final class FaultValues {
    private FaultValues() {}

    /** Returns a number, zero for {@code false}, or the current value if the fault is not present. */
    public static double number(JsonObject faults, String name, double current) {
        Object value = faults.getValue(name);
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        return faults.containsKey(name) ? 0 : current;
    }

    /** Returns a whole number, zero for {@code false}, or the current value if the fault is not present. */
    public static long wholeNumber(JsonObject faults, String name, long current) {
        return (long) number(faults, name, current);
    }

    /** Returns a text, empty for {@code false}, or the current value if the fault is not present. */
    public static String text(JsonObject faults, String name, String current) {
        Object value = faults.getValue(name);
        if (value instanceof String text) {
            return text;
        }
        return faults.containsKey(name) ? "" : current;
    }
}
