package org.baobabcart.router.traffic;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Settings of the caller API. Immutable.
 *
 * @param node the identity of this router
 * @param limits limits on requests and responses
 * @param timeouts timeouts
 * @param transport the TLS and address options of connections
 */
public record TrafficSettings(Node node, Limits limits, Timeouts timeouts, Transport transport) {
    private static final int MEBIBYTE = 1024 * 1024;
    private static final int KIBIBYTE = 1024;

    /**
     * The identity of this router.
     *
     * @param name the name of the router
     * @param dataCentre the data centre of the router
     * @param eventLoops the number of event loops that serve callers
     */
    public record Node(String name, String dataCentre, int eventLoops) {}

    /**
     * Limits on requests and responses.
     *
     * @param bodyBytes the maximum size of a request body in bytes
     * @param headerBytes the maximum size of all request headers in bytes
     * @param responseBytes the maximum size of a buffered response in bytes
     * @param queued the maximum number of requests queued for one model version or service
     * @param queuedPerWorkspace the maximum number of these from one workspace
     * @param attempts the maximum number of attempts per request and step
     */
    public record Limits(
            int bodyBytes, int headerBytes, int responseBytes, int queued, int queuedPerWorkspace, int attempts) {}

    /**
     * Timeouts.
     *
     * @param request the time for a request to arrive completely
     * @param idleConnection the time that a connection may stay without a request
     * @param total the time for a complete response if the caller does not set it
     * @param maxTotal the maximum time that a caller may set
     * @param connect the time to connect to an upstream
     * @param firstByte the time to the first byte of an upstream's response
     * @param betweenBytes the time between two bytes of an upstream's response
     * @param callerStall the time that a caller may leave its response unread
     */
    public record Timeouts(
            Duration request,
            Duration idleConnection,
            Duration total,
            Duration maxTotal,
            Duration connect,
            Duration firstByte,
            Duration betweenBytes,
            Duration callerStall) {}

    /** Returns the default settings. */
    public static TrafficSettings defaults() {
        Node node = new Node("router", "", Math.max(2, Runtime.getRuntime().availableProcessors() / 2));
        Limits limits = new Limits(4 * MEBIBYTE, 16 * KIBIBYTE, 16 * MEBIBYTE, 1024, 256, 3);
        Timeouts timeouts = new Timeouts(
                Duration.ofSeconds(10),
                Duration.ofSeconds(60),
                Duration.ofSeconds(120),
                Duration.ofSeconds(600),
                Duration.ofSeconds(1),
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                Duration.ofSeconds(20));
        return new TrafficSettings(node, limits, timeouts, Transport.plain());
    }

    /** Returns these settings for a named router in a data centre. */
    public TrafficSettings withNode(String name, String dataCentre) {
        return new TrafficSettings(new Node(name, dataCentre, node.eventLoops()), limits, timeouts, transport);
    }

    /** Returns these settings with other limits. */
    public TrafficSettings withLimits(Limits newLimits) {
        return new TrafficSettings(node, newLimits, timeouts, transport);
    }

    /** Returns these settings with other timeouts. */
    public TrafficSettings withTimeouts(Timeouts newTimeouts) {
        return new TrafficSettings(node, limits, newTimeouts, transport);
    }

    /** Returns these settings with other connection options. */
    public TrafficSettings withTransport(Transport newTransport) {
        return new TrafficSettings(node, limits, timeouts, newTransport);
    }
}
