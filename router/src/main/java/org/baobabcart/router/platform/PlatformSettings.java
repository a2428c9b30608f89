package org.baobabcart.router.platform;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Time-outs and limits of calls to the platform. Immutable.
 *
 * @param connectTimeout how long the opening of a connection may take
 * @param callTimeout how long one call may take, connection included; greater than the connect time-out
 * @param watchDuration how long the platform is asked to hold a watch
 * @param watchEndGrace how long after its end a silent watch is taken for broken
 * @param connections the greatest number of connections for calls
 * @param transport how connections are made
 */
public record PlatformSettings(
        Duration connectTimeout,
        Duration callTimeout,
        Duration watchDuration,
        Duration watchEndGrace,
        int connections,
        Transport transport) {
    private static final int DEFAULT_CONNECTIONS = 8;

    /** Settings for a platform that answers in milliseconds. */
    public static PlatformSettings defaults() {
        return new PlatformSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofSeconds(30),
                Duration.ofSeconds(5),
                DEFAULT_CONNECTIONS,
                Transport.plain());
    }

    /** The same settings with connections made another way. */
    public PlatformSettings withTransport(Transport newTransport) {
        return new PlatformSettings(
                connectTimeout, callTimeout, watchDuration, watchEndGrace, connections, newTransport);
    }
}
