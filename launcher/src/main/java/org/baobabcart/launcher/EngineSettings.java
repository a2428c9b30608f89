package org.baobabcart.launcher;

/**
 * Start-up settings of an engine stand-in. Immutable.
 *
 * @param model the model that the engine serves
 * @param version the model version that the engine serves
 * @param slots the maximum number of concurrent requests
 * @param tokenMillis the duration of a generation step with one running request, in milliseconds
 * @param quality the quality reported in responses
 * @param loadMillis the time to load a version, in milliseconds
 * @param checksFencing whether the engine rejects orders with an outdated fencing number
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

    /** Returns the settings of an engine that serves the large model. */
    public static EngineSettings large(String version) {
        return new EngineSettings("layout-large", version, SLOTS, LARGE_TOKEN_MILLIS, 0.95, 0, true);
    }

    /** Returns the settings of an engine that serves the small model. */
    public static EngineSettings small(String version) {
        return new EngineSettings("layout-small", version, SLOTS, SMALL_TOKEN_MILLIS, 0.7, 0, true);
    }

    /** Returns a copy with a different number of slots and step duration. */
    public EngineSettings withCapacity(int newSlots, double newTokenMillis) {
        return new EngineSettings(model, version, newSlots, newTokenMillis, quality, loadMillis, checksFencing);
    }

    /** Returns a copy with a different quality. */
    public EngineSettings withQuality(double newQuality) {
        return new EngineSettings(model, version, slots, tokenMillis, newQuality, loadMillis, checksFencing);
    }

    /** Returns a copy with a different load time and fencing check. */
    public EngineSettings withOrderHandling(long newLoadMillis, boolean newChecksFencing) {
        return new EngineSettings(model, version, slots, tokenMillis, quality, newLoadMillis, newChecksFencing);
    }
}
