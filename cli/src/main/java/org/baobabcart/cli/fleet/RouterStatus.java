package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Status that a router reports at {@code /status}. Fields that the commands do not use are ignored. Immutable.
 *
 * @param name the router's name
 * @param dataCentre the data centre of the router
 * @param ready whether the router accepts requests
 * @param stopping whether the router's planned stop has begun
 * @param sheet the sheet that the router has applied
 * @param rollOuts the roll-out state that the router has applied
 * @param sessionKeys the session token keys that the router has
 * @param platformReachable whether the router can reach the platform
 * @param members the routers that the router knows
 * @param upstreams the upstreams that the router knows
 * @param orders the router's orders to engines
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record RouterStatus(
        String name,
        String dataCentre,
        boolean ready,
        boolean stopping,
        SheetStatus sheet,
        RollOutsStatus rollOuts,
        SessionKeysStatus sessionKeys,
        boolean platformReachable,
        List<KnownMember> members,
        List<JsonNode> upstreams,
        OrdersStatus orders) {
    /** Replaces missing parts with empty ones. */
    public RouterStatus {
        sheet = sheet == null ? new SheetStatus(0, "", 0) : sheet;
        rollOuts = rollOuts == null ? new RollOutsStatus(0) : rollOuts;
        sessionKeys = sessionKeys == null ? new SessionKeysStatus(0) : sessionKeys;
        members = members == null ? List.of() : List.copyOf(members);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        orders = orders == null ? new OrdersStatus(0, List.of(), List.of()) : orders;
    }

    /**
     * The sheet that a router has applied. Immutable.
     *
     * @param generation the generation, or zero if there is no sheet yet
     * @param name the name of the sheet
     * @param ageMillis the time since the sheet was last confirmed, in milliseconds
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record SheetStatus(long generation, String name, long ageMillis) {}

    /**
     * The roll-out state that a router has applied. Immutable.
     *
     * @param generation the generation of the state
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record RollOutsStatus(long generation) {}

    /**
     * The orders of a router to engines. Immutable.
     *
     * @param fencing the fencing number of the lease on orders, or zero if the router does not hold it
     * @param inFlight the orders whose engines do not serve the ordered version yet
     * @param shortfalls the versions that need more engines than are available
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record OrdersStatus(long fencing, List<JsonNode> inFlight, List<JsonNode> shortfalls) {
        /** Replaces missing parts with empty ones. */
        public OrdersStatus {
            inFlight = inFlight == null ? List.of() : List.copyOf(inFlight);
            shortfalls = shortfalls == null ? List.of() : List.copyOf(shortfalls);
        }
    }

    /**
     * The session token keys of a router. Immutable.
     *
     * @param generation the generation of the keys, or zero if there are none yet
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record SessionKeysStatus(long generation) {}

    /**
     * A router as seen by another router. Immutable.
     *
     * @param nodeId the name of the router
     * @param state the liveness state as seen by the other router
     * @param dataCentre the data centre of the router
     * @param adminAddress the {@code host:port} of the admin port
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record KnownMember(String nodeId, String state, String dataCentre, String adminAddress) {
        /** Returns whether the router is considered live. */
        public boolean live() {
            return "ALIVE".equals(state) || "SUSPECT".equals(state);
        }
    }
}
