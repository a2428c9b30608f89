package org.baobabcart.standins.base;

import io.vertx.core.json.JsonObject;

/** Reads values of faults, for each of which {@code false} ends the fault. */
public final class FaultValues {
    private FaultValues() {}

    /** A number, zero for {@code false}, or the present value if the fault is not named. */
    public static double number(JsonObject faults, String name, double present) {
        Object value = faults.getValue(name);
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        return faults.containsKey(name) ? 0 : present;
    }

    /** A whole number, zero for {@code false}, or the present value if the fault is not named. */
    public static long whole(JsonObject faults, String name, long present) {
        return (long) number(faults, name, present);
    }

    /** A text, empty for {@code false}, or the present value if the fault is not named. */
    public static String text(JsonObject faults, String name, String present) {
        Object value = faults.getValue(name);
        if (value instanceof String text) {
            return text;
        }
        return faults.containsKey(name) ? "" : present;
    }
}
