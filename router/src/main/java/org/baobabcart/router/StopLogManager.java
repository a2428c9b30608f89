package org.baobabcart.router;

import java.util.logging.LogManager;

/**
 * A {@link LogManager} that keeps the log handlers open until the JVM halts. The default one closes them in a shutdown
 * hook, so that nothing would be logged during a planned stop. Thread-safe.
 */
public final class StopLogManager extends LogManager {
    /** Does nothing, so that the handlers stay open; the configuration is read only once. */
    @Override
    public void reset() {}
}
