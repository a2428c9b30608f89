package org.baobabcart.router;

import java.util.logging.LogManager;

/**
 * Keeps the handlers of the log until the virtual machine halts. The one of the platform closes them when a shutdown begins,
 * so that nothing of a planned stop would be logged. Thread-safe.
 */
public final class StopLogManager extends LogManager {
    /** Does nothing: the configuration is read once and stands. */
    @Override
    public void reset() {}
}
