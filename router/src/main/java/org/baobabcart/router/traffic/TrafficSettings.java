package org.baobabcart.router.traffic;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Settings of the caller API. Immutable.
 *
 * @param node who this router is
 * @param limits limits on what callers send
 * @param timeouts how long things may take
 * @param transport how connections are made
 */
public record TrafficSettings(Node node, Limits limits, Timeouts timeouts, Transport transport) {
    private static final int MEBIBYTE = 1024 * 1024;
    private static final int KIBIBYTE = 1024;

    /**
     * Who this router is.
     *
     * @param name the router's name
     * @param dataCentre the data centre it stands in
     * @param eventLoops the number of event loops that serve callers
     */
    public record Node(String name, String dataCentre, int eventLoops) {}

    /**
     * Limits on what callers and upstreams send.
     *
     * @param bodyBytes the largest request body in bytes
     * @param headerBytes the largest size of all request headers in bytes
     * @param answerBytes the largest buffered answer in bytes
     * @param queued the most requests that wait for one model version or service
     * @param queuedPerWorkspace the most of these of one workspace
     * @param attempts the most attempts of one request at one step
     */
    public record Limits(
            int bodyBytes, int headerBytes, int answerBytes, int queued, int queuedPerWorkspace, int attempts) {}

    /**
     * How long things may take.
     *
     * @param request the time for a request to arrive completely
     * @param idleConnection the time that a connection may stay without a request
     * @param whole the time for an answer where the caller names none
     * @param wholeLongest the longest time that a caller may name
     * @param connect the time for connecting to an upstream
     * @param firstByte the time to the first byte of an upstream's answer
     * @param betweenBytes the time between two bytes of an upstream's answer
     * @param callerStall the time that a caller may leave its answer unread
     */
    public record Timeouts(
            Duration request,
            Duration idleConnection,
            Duration whole,
            Duration wholeLongest,
            Duration connect,
            Duration firstByte,
            Duration betweenBytes,
            Duration callerStall) {}

    /** Settings for ordinary use. */
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

    /** The same settings for a named router in a data centre. */
    public TrafficSettings withNode(String name, String dataCentre) {
        return new TrafficSettings(new Node(name, dataCentre, node.eventLoops()), limits, timeouts, transport);
    }

    /** The same settings with other limits. */
    public TrafficSettings withLimits(Limits newLimits) {
        return new TrafficSettings(node, newLimits, timeouts, transport);
    }

    /** The same settings with other times. */
    public TrafficSettings withTimeouts(Timeouts newTimeouts) {
        return new TrafficSettings(node, limits, newTimeouts, transport);
    }

    /** The same settings with connections made another way. */
    public TrafficSettings withTransport(Transport newTransport) {
        return new TrafficSettings(node, limits, timeouts, newTransport);
    }
}
