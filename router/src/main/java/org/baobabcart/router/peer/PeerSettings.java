package org.baobabcart.router.peer;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Limits of the transport between routers. Immutable.
 *
 * @param connectTimeout the timeout of opening a connection
 * @param idleTimeout the time without traffic after which a connection is closed, so that a large fleet does not keep a
 *     connection for each pair of routers
 * @param sweepPeriod the period of the check for overdue calls
 * @param maxFrameBytes the maximum size of one message
 * @param maxBacklogBytes the maximum number of bytes waiting to be written to one peer
 * @param transport the transport that creates connections
 */
public record PeerSettings(
        Duration connectTimeout,
        Duration idleTimeout,
        Duration sweepPeriod,
        int maxFrameBytes,
        int maxBacklogBytes,
        Transport transport) {
    private static final int MEBIBYTE = 1024 * 1024;

    /** Returns settings for routers a few milliseconds apart. */
    public static PeerSettings defaults() {
        return new PeerSettings(
                Duration.ofMillis(500),
                Duration.ofSeconds(30),
                Duration.ofMillis(20),
                4 * MEBIBYTE,
                16 * MEBIBYTE,
                Transport.plain());
    }

    /** Returns these settings with another transport. */
    public PeerSettings withTransport(Transport newTransport) {
        return new PeerSettings(connectTimeout, idleTimeout, sweepPeriod, maxFrameBytes, maxBacklogBytes, newTransport);
    }
}
