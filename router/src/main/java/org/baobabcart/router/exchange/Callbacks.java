package org.baobabcart.router.exchange;

import com.google.common.flogger.FluentLogger;

/** Runs callbacks between the end of a request's work and its response, whose failure must not cost the caller the response. */
public final class Callbacks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private Callbacks() {}

    /**
     * Runs a callback and logs what it throws.
     *
     * @param requestId the id of the request, for the log
     */
    public static void run(String requestId, Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException failure) {
            LOGGER.atSevere().withCause(failure).log("event=callback_failed request=%s", requestId);
        }
    }
}
