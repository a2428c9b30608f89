package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * What a router says of itself at {@code /status}; fields that the command line does not use are ignored. Immutable.
 *
 * @param name the router's name
 * @param dataCentre the data centre it stands in
 * @param ready whether it takes requests
 * @param stopping whether its planned stop has begun
 * @param sheet the sheet in force there
 * @param rollOuts the roll-out state in force there
 * @param sessionKeys the keys of session tokens known there
 * @param platformReachable whether it reaches the platform
 * @param members the routers that it knows
 * @param upstreams the upstreams that it knows
 * @param orders what it orders engines to do
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
    /** Replaces missing parts. */
    public RouterStatus {
        sheet = sheet == null ? new SheetStatus(0, "", 0) : sheet;
        rollOuts = rollOuts == null ? new RollOutsStatus(0) : rollOuts;
        sessionKeys = sessionKeys == null ? new SessionKeysStatus(0) : sessionKeys;
        members = members == null ? List.of() : List.copyOf(members);
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
        orders = orders == null ? new OrdersStatus(0, List.of(), List.of()) : orders;
    }

    /**
     * The sheet in force at a router. Immutable.
     *
     * @param generation its generation, zero before the first sheet
     * @param name the operators' name of it
     * @param ageMillis how long ago it was last confirmed, in milliseconds
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record SheetStatus(long generation, String name, long ageMillis) {}

    /**
     * The roll-out state in force at a router. Immutable.
     *
     * @param generation its generation
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record RollOutsStatus(long generation) {}

    /**
     * What a router orders engines to do. Immutable.
     *
     * @param fencing the number of the lease that it holds, zero where it holds none
     * @param inFlight orders whose engines do not serve the version yet
     * @param shortfalls versions that lack engines which cannot be had now
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record OrdersStatus(long fencing, List<JsonNode> inFlight, List<JsonNode> shortfalls) {
        /** Replaces missing parts. */
        public OrdersStatus {
            inFlight = inFlight == null ? List.of() : List.copyOf(inFlight);
            shortfalls = shortfalls == null ? List.of() : List.copyOf(shortfalls);
        }
    }

    /**
     * The keys of session tokens at a router. Immutable.
     *
     * @param generation their generation, zero before the first keys
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record SessionKeysStatus(long generation) {}

    /**
     * A router that another one knows. Immutable.
     *
     * @param nodeId its name
     * @param state its liveness as seen there
     * @param dataCentre its data centre
     * @param adminAddress {@code host:port} of its admin port
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record KnownMember(String nodeId, String state, String dataCentre, String adminAddress) {
        /** Whether it is taken for live. */
        public boolean live() {
            return "ALIVE".equals(state) || "SUSPECT".equals(state);
        }
    }
}
