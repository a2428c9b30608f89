package org.baobabcart.router.platform;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Timeouts and limits of calls to the platform. Immutable.
 *
 * @param connectTimeout the timeout of opening a connection
 * @param callTimeout the timeout of one call, including the connection; greater than the connect timeout
 * @param watchDuration the duration that is requested for a watch; together with the grace it limits how long a connection that has
 *     gone silent hides changes
 * @param watchEndGrace the time after its requested end at which a silent watch is treated as broken
 * @param maxConnections the maximum number of connections for calls
 * @param transport the transport that creates connections
 */
public record PlatformSettings(
        Duration connectTimeout,
        Duration callTimeout,
        Duration watchDuration,
        Duration watchEndGrace,
        int maxConnections,
        Transport transport) {
    private static final int DEFAULT_MAX_CONNECTIONS = 8;

    /** Returns settings for a platform that responds in milliseconds. */
    public static PlatformSettings defaults() {
        return new PlatformSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofSeconds(8),
                Duration.ofSeconds(2),
                DEFAULT_MAX_CONNECTIONS,
                Transport.plain());
    }

    /** Returns these settings with another transport. */
    public PlatformSettings withTransport(Transport newTransport) {
        return new PlatformSettings(
                connectTimeout, callTimeout, watchDuration, watchEndGrace, maxConnections, newTransport);
    }
}
