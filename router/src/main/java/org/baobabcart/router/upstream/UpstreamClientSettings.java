package org.baobabcart.router.upstream;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * Settings of an {@link UpstreamClient}. Immutable.
 *
 * @param connectTimeout the maximum time to establish a connection
 * @param idleTimeout the time after which an idle connection is not reused; shorter than the upstream's own idle
 *     timeout
 * @param silenceTimeout the time without activity after which an upstream is probed with a new connection
 * @param rules how responses of the upstreams are interpreted
 * @param transport the TLS and address options of connections
 */
public record UpstreamClientSettings(
        Duration connectTimeout,
        Duration idleTimeout,
        Duration silenceTimeout,
        ResponseRules rules,
        Transport transport) {
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** Several times the pause between two tokens of a loaded engine, and shorter than a pause that callers notice. */
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofMillis(400);

    /** Creates settings for upstreams that use the router's own headers. */
    public static UpstreamClientSettings of(Duration connectTimeout, Transport transport) {
        return new UpstreamClientSettings(
                connectTimeout, DEFAULT_IDLE_TIMEOUT, DEFAULT_SILENCE_TIMEOUT, new DefaultResponseRules(), transport);
    }

    /** Returns these settings with other response rules. */
    public UpstreamClientSettings withRules(ResponseRules newRules) {
        return new UpstreamClientSettings(connectTimeout, idleTimeout, silenceTimeout, newRules, transport);
    }

    /** Returns these settings with another idle timeout. */
    public UpstreamClientSettings withIdleTimeout(Duration newIdleTimeout) {
        return new UpstreamClientSettings(connectTimeout, newIdleTimeout, silenceTimeout, rules, transport);
    }
}
