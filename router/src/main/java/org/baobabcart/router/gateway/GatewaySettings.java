package org.baobabcart.router.gateway;

import java.time.Duration;
import org.baobabcart.policy.admission.AdmissionQueue;
import org.baobabcart.policy.cascade.EscalationPolicy;
import org.baobabcart.policy.retry.SlidingWindowRetryBudget;
import org.baobabcart.policy.version.VersionMoveSchedule;

/**
 * Settings of the opaque request path. Immutable.
 *
 * @param name the router's name
 * @param dataCentre where it runs
 * @param queue bounds of each waiting line
 * @param retries the router's part of the retry budget of a service
 * @param move how services are moved to other versions
 * @param escalation when a larger model is asked
 * @param connectTimeout the longest time to a connection
 * @param idleConnection the time after which an idle connection to an upstream is not used again
 * @param bufferedBytes the most bytes of bodies that are kept at once
 * @param collectedAnswerBytes an answer up to this size is read whole before it is passed on
 * @param callerStall how long a caller may stop reading its answer
 */
public record GatewaySettings(
        String name,
        String dataCentre,
        AdmissionQueue.Settings queue,
        SlidingWindowRetryBudget.Settings retries,
        VersionMoveSchedule move,
        EscalationPolicy escalation,
        Duration connectTimeout,
        Duration idleConnection,
        long bufferedBytes,
        int collectedAnswerBytes,
        Duration callerStall) {
    private static final int QUEUED = 512;
    private static final int QUEUED_PER_WORKSPACE = 256;
    private static final double DEFAULT_EXPOSURE = 0.1;
    /** Several round trips between data centres and the retransmission of none: a lost first packet counts as a failure. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** The shortest whole number of seconds, since upstreams close idle connections after times that they need not state. */
    private static final Duration IDLE_CONNECTION = Duration.ofSeconds(1);

    private static final int COLLECTED_ANSWER_BYTES = 64 * 1024;
    private static final Duration CALLER_STALL = Duration.ofSeconds(10);
    /** A quarter of a small heap. */
    private static final long BUFFERED_BYTES = 24L * 1024 * 1024;

    /** Settings for a router of this name. */
    public static GatewaySettings of(String name, String dataCentre) {
        return new GatewaySettings(
                name,
                dataCentre,
                new AdmissionQueue.Settings(QUEUED, QUEUED_PER_WORKSPACE),
                SlidingWindowRetryBudget.Settings.defaults(),
                VersionMoveSchedule.ofExposure(DEFAULT_EXPOSURE),
                EscalationPolicy.defaults(),
                CONNECT_TIMEOUT,
                IDLE_CONNECTION,
                BUFFERED_BYTES,
                COLLECTED_ANSWER_BYTES,
                CALLER_STALL);
    }

    /** The same settings with another retry budget. */
    public GatewaySettings withRetries(SlidingWindowRetryBudget.Settings newRetries) {
        return new GatewaySettings(
                name,
                dataCentre,
                queue,
                newRetries,
                move,
                escalation,
                connectTimeout,
                idleConnection,
                bufferedBytes,
                collectedAnswerBytes,
                callerStall);
    }

    /** The same settings with another way to move services to other versions. */
    public GatewaySettings withMove(VersionMoveSchedule newMove) {
        return new GatewaySettings(
                name,
                dataCentre,
                queue,
                retries,
                newMove,
                escalation,
                connectTimeout,
                idleConnection,
                bufferedBytes,
                collectedAnswerBytes,
                callerStall);
    }
}
