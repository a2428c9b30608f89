package org.baobabcart.router.platform;

import io.vertx.core.http.HttpClientOptions;
import java.time.Duration;

/**
 * Time-outs and limits of calls to the platform. Immutable.
 *
 * @param connectTimeout how long the opening of a connection may take
 * @param callTimeout how long one call may take, connection included; greater than the connect time-out
 * @param watchDuration how long the platform is asked to hold a watch
 * @param watchSilence how long after its end a silent watch is taken for broken
 * @param connections the greatest number of connections for calls
 * @param outgoingAddress the address that connections come from, empty for any
 */
public record PlatformSettings(
        Duration connectTimeout,
        Duration callTimeout,
        Duration watchDuration,
        Duration watchSilence,
        int connections,
        String outgoingAddress) {
    private static final int DEFAULT_CONNECTIONS = 8;

    /** Settings for a platform that answers in milliseconds. */
    public static PlatformSettings defaults() {
        return new PlatformSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofSeconds(30),
                Duration.ofSeconds(5),
                DEFAULT_CONNECTIONS,
                "");
    }

    /** The same settings with connections from another address. */
    public PlatformSettings withOutgoingAddress(String newOutgoingAddress) {
        return new PlatformSettings(
                connectTimeout, callTimeout, watchDuration, watchSilence, connections, newOutgoingAddress);
    }

    /** Options of a client, from the address that connections come from. */
    <T extends HttpClientOptions> T applyTo(T options) {
        options.setConnectTimeout((int) connectTimeout.toMillis());
        if (!outgoingAddress.isEmpty()) {
            options.setLocalAddress(outgoingAddress);
        }
        return options;
    }
}
