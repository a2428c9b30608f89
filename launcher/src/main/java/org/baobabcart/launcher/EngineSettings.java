package org.baobabcart.launcher;

/**
 * How an engine stand-in is started. Immutable.
 *
 * @param model the model it serves
 * @param version the version it serves
 * @param slots the number of requests that run together
 * @param tokenMillis the time of a step while one request runs, in milliseconds
 * @param quality the quality that its answers state
 * @param loadMillis how long the loading of a version takes, in milliseconds
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EngineSettings(
        String model,
        String version,
        int slots,
        double tokenMillis,
        double quality,
        long loadMillis,
        boolean checksFencing) {
    private static final int SLOTS = 8;
    private static final double LARGE_TOKEN_MILLIS = 4;
    private static final double SMALL_TOKEN_MILLIS = 1;

    /** An engine of the large model. */
    public static EngineSettings large(String version) {
        return new EngineSettings("layout-large", version, SLOTS, LARGE_TOKEN_MILLIS, 0.95, 0, true);
    }

    /** An engine of the small model. */
    public static EngineSettings small(String version) {
        return new EngineSettings("layout-small", version, SLOTS, SMALL_TOKEN_MILLIS, 0.7, 0, true);
    }

    /** The same engine with other slots and speed. */
    public EngineSettings withCapacity(int newSlots, double newTokenMillis) {
        return new EngineSettings(model, version, newSlots, newTokenMillis, quality, loadMillis, checksFencing);
    }

    /** The same engine with another quality. */
    public EngineSettings withQuality(double newQuality) {
        return new EngineSettings(model, version, slots, tokenMillis, newQuality, loadMillis, checksFencing);
    }

    /** The same engine with another way to take orders. */
    public EngineSettings withOrders(long newLoadMillis, boolean nowChecksFencing) {
        return new EngineSettings(model, version, slots, tokenMillis, quality, newLoadMillis, nowChecksFencing);
    }
}
