package org.baobabcart.router.upstream;

import java.time.Duration;
import org.baobabcart.router.transport.Transport;

/**
 * How attempts are sent. Immutable.
 *
 * @param connectTimeout the longest time to a new connection
 * @param idleTimeout the time after which an idle connection is not used again, shorter than the upstream's own
 * @param silence the time without a sign of an upstream after which it is asked for a new connection
 * @param rules how upstreams answer
 * @param transport how connections are made
 */
public record UpstreamClientSettings(
        Duration connectTimeout, Duration idleTimeout, Duration silence, AnswerRules rules, Transport transport) {
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** Several times the pause between two tokens of a loaded engine, and below the pauses that callers notice. */
    private static final Duration DEFAULT_SILENCE = Duration.ofMillis(400);

    /** Settings for the product's own upstreams. */
    public static UpstreamClientSettings of(Duration connectTimeout, Transport transport) {
        return new UpstreamClientSettings(
                connectTimeout, DEFAULT_IDLE_TIMEOUT, DEFAULT_SILENCE, new OwnAnswerRules(), transport);
    }

    /** The same settings for upstreams that answer by other rules. */
    public UpstreamClientSettings withRules(AnswerRules newRules) {
        return new UpstreamClientSettings(connectTimeout, idleTimeout, silence, newRules, transport);
    }

    /** The same settings with another time for idle connections. */
    public UpstreamClientSettings withIdleTimeout(Duration newIdleTimeout) {
        return new UpstreamClientSettings(connectTimeout, newIdleTimeout, silence, rules, transport);
    }
}
