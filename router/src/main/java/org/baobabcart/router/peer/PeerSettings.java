package org.baobabcart.router.peer;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Limits of the transport between routers. Immutable.
 *
 * @param connectTimeout how long the opening of a connection may take
 * @param idleTimeout after how long without a byte a connection is closed, which keeps a large fleet from holding a
 *     connection for each pair of routers
 * @param sweepPeriod how often overdue calls are looked for
 * @param maxFrameBytes the greatest size of one message
 * @param maxBacklogBytes how many bytes may wait to be written to one peer
 * @param transport how connections are made
 */
public record PeerSettings(
        Duration connectTimeout,
        Duration idleTimeout,
        Duration sweepPeriod,
        int maxFrameBytes,
        int maxBacklogBytes,
        Transport transport) {
    private static final int MEBIBYTE = 1024 * 1024;

    /** Settings for routers a few milliseconds apart. */
    public static PeerSettings defaults() {
        return new PeerSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(30),
                Duration.ofMillis(20),
                4 * MEBIBYTE,
                16 * MEBIBYTE,
                Transport.plain());
    }

    /** The same settings with connections made another way. */
    public PeerSettings withTransport(Transport newTransport) {
        return new PeerSettings(connectTimeout, idleTimeout, sweepPeriod, maxFrameBytes, maxBacklogBytes, newTransport);
    }
}
