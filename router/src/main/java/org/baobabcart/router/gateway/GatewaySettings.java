package org.baobabcart.router.gateway;

import java.time.Duration;
import org.baobabcart.policy.admission.AdmissionQueue;
import org.baobabcart.policy.cascade.EscalationPolicy;
import org.baobabcart.policy.retry.SlidingWindowRetryBudget;
import org.baobabcart.policy.version.VersionMoveSchedule;
import org.baobabcart.router.exchange.ClientLimits;

/**
 * Settings of the opaque request path. Immutable.
 *
 * @param name the router's name
 * @param dataCentre the data centre that the router runs in
 * @param queue limits of each queue
 * @param retries this router's part of the retry budget of a service
 * @param move the schedule by which services are moved to other versions
 * @param escalation decides when a larger model is asked
 * @param connectTimeout the timeout for connecting to an upstream
 * @param idleConnection the time after which an idle connection to an upstream is not reused
 * @param clients what clients may take of the process together
 * @param bufferedResponseBytes the maximum size of a response that is buffered before it is relayed
 * @param callerStall how long a caller may stop reading its response
 * @param fleet what the deployment asks of its routers together
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
        ClientLimits clients,
        int bufferedResponseBytes,
        Duration callerStall,
        FleetSettings fleet) {
    private static final int MAX_QUEUED = 512;
    private static final int MAX_QUEUED_PER_WORKSPACE = 256;
    private static final double DEFAULT_EXPOSURE = 0.1;
    /** Allows several round trips between data centres but no retransmission: a lost first packet counts as a failure. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    /** The minimum in whole seconds, since upstreams close idle connections after timeouts that they need not announce. */
    private static final Duration IDLE_CONNECTION = Duration.ofSeconds(1);

    private static final int BUFFERED_RESPONSE_BYTES = 64 * 1024;
    private static final Duration CALLER_STALL = Duration.ofSeconds(10);

    /** Returns the default settings of a router. */
    public static GatewaySettings of(String name, String dataCentre) {
        return new GatewaySettings(
                name,
                dataCentre,
                new AdmissionQueue.Settings(MAX_QUEUED, MAX_QUEUED_PER_WORKSPACE),
                SlidingWindowRetryBudget.Settings.defaults(),
                VersionMoveSchedule.ofExposure(DEFAULT_EXPOSURE),
                EscalationPolicy.defaults(),
                CONNECT_TIMEOUT,
                IDLE_CONNECTION,
                ClientLimits.defaults(),
                BUFFERED_RESPONSE_BYTES,
                CALLER_STALL,
                FleetSettings.none());
    }

    /** Returns a copy with another retry budget. */
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
                clients,
                bufferedResponseBytes,
                callerStall,
                fleet);
    }

    /** Returns a copy with another schedule for moving services to other versions. */
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
                clients,
                bufferedResponseBytes,
                callerStall,
                fleet);
    }

    /** Returns a copy with other requirements of the deployment. */
    public GatewaySettings withFleet(FleetSettings newFleet) {
        return new GatewaySettings(
                name,
                dataCentre,
                queue,
                retries,
                move,
                escalation,
                connectTimeout,
                idleConnection,
                clients,
                bufferedResponseBytes,
                callerStall,
                newFleet);
    }

    /** Returns a copy with other limits for clients. */
    public GatewaySettings withClients(ClientLimits newClients) {
        return new GatewaySettings(
                name,
                dataCentre,
                queue,
                retries,
                move,
                escalation,
                connectTimeout,
                idleConnection,
                newClients,
                bufferedResponseBytes,
                callerStall,
                fleet);
    }
}
