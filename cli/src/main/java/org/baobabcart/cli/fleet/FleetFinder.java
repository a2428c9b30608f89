package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.model.platform.FleetEndpoints;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Discovers all live routers. It queries seed routers, taken from the operator's arguments, the platform or the list of
 * VMs, and then all routers that these know.
 *
 * <p>A router that is live in the list of VMs but unknown to the routers is included as unresponsive, so that a change
 * is never reported as complete without it. Not thread-safe.
 */
public final class FleetFinder {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final int PARALLEL_CALLS = 64;
    private static final long MAX_PORT = 65_535;

    private final AdminClient admin;
    private final ObjectStore store;
    private final Arguments arguments;

    private FleetFinder(AdminClient admin, ObjectStore store, Arguments arguments) {
        this.admin = admin;
        this.store = store;
        this.arguments = arguments;
    }

    /** Creates a finder that takes its seed routers from the arguments and the platform. */
    public static FleetFinder create(AdminClient admin, ObjectStore store, Arguments arguments) {
        return new FleetFinder(admin, store, arguments);
    }

    /**
     * Queries the status of all routers.
     *
     * @throws BaobabcartException with {@code UPSTREAM_UNREACHABLE} if there are no seed routers or no router responds
     */
    public Fleet find() {
        FleetEndpoints endpoints = endpoints();
        List<VirtualMachine> listed = listedRouters(endpoints);
        Set<String> seeds = seeds(endpoints, listed);
        if (seeds.isEmpty()) {
            String detail = "no router is known; set " + CommonFlags.ROUTERS.name() + " or "
                    + CommonFlags.VIRTUAL_MACHINES.name();
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, detail);
        }
        Map<String, FleetRouter> byAddress = queryAll(seeds);
        Fleet fleet = merge(byAddress.values(), listed);
        if (fleet.responding().isEmpty()) {
            String detail = "no router responded; queried: " + String.join(", ", byAddress.keySet());
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, detail);
        }
        return fleet;
    }

    private FleetEndpoints endpoints() {
        boolean isConfigured = arguments.optional(CommonFlags.ROUTERS).isPresent()
                || arguments.optional(CommonFlags.VIRTUAL_MACHINES).isPresent();
        return store.read(ObjectKinds.ENDPOINTS, ObjectKinds.CURRENT)
                .map(object -> convert(object.spec(), FleetEndpoints.class))
                .onFailure(failure -> isConfigured || isMissing(failure))
                .recoverWithItem(FleetEndpoints.empty())
                .await()
                .indefinitely();
    }

    private Set<String> seeds(FleetEndpoints endpoints, List<VirtualMachine> listed) {
        Set<String> seeds = new LinkedHashSet<>(arguments.list(CommonFlags.ROUTERS));
        if (seeds.isEmpty()) {
            seeds.addAll(endpoints.routers());
        }
        if (seeds.isEmpty()) {
            long port = arguments.number(CommonFlags.ADMIN_PORT, 1, MAX_PORT);
            listed.forEach(machine -> seeds.add(host(machine.address()) + ":" + port));
        }
        return seeds;
    }

    private List<VirtualMachine> listedRouters(FleetEndpoints endpoints) {
        Optional<String> address = arguments
                .optionalAddress(CommonFlags.VIRTUAL_MACHINES)
                .or(() -> Optional.of(endpoints.virtualMachines()).filter(text -> !text.isEmpty()));
        if (address.isEmpty()) {
            return List.of();
        }
        JsonNode response = admin.get(address.get() + "/vms")
                .onFailure(BaobabcartException.class)
                .recoverWithItem(() -> MAPPER.createObjectNode())
                .await()
                .indefinitely();
        List<VirtualMachine> routers = new ArrayList<>();
        for (JsonNode entry : response.path("virtualMachines")) {
            VirtualMachine machine = convert(entry, VirtualMachine.class);
            if (machine.role() == VirtualMachine.Role.ROUTER && machine.state() == VirtualMachine.State.LIVE) {
                routers.add(machine);
            }
        }
        return routers;
    }

    private Map<String, FleetRouter> queryAll(Set<String> seeds) {
        Map<String, FleetRouter> queried = new LinkedHashMap<>();
        Map<String, String> names = new LinkedHashMap<>();
        Set<String> pending = new LinkedHashSet<>(seeds);
        while (!pending.isEmpty()) {
            List<FleetRouter> responses = query(pending, names);
            Set<String> next = new LinkedHashSet<>();
            for (FleetRouter router : responses) {
                queried.put(router.adminAddress(), router);
                router.status().ifPresent(status -> addMembers(status, names, next));
            }
            next.removeAll(queried.keySet());
            pending = next;
        }
        return queried;
    }

    private static void addMembers(RouterStatus status, Map<String, String> names, Set<String> addresses) {
        for (RouterStatus.KnownMember member : status.members()) {
            if (member.live()
                    && member.adminAddress() != null
                    && !member.adminAddress().isEmpty()) {
                names.put(member.adminAddress(), member.nodeId());
                addresses.add(member.adminAddress());
            }
        }
    }

    private List<FleetRouter> query(Set<String> addresses, Map<String, String> names) {
        return Uni.join()
                .all(addresses.stream().map(address -> query(address, names)).toList())
                .usingConcurrencyOf(PARALLEL_CALLS)
                .andFailFast()
                .await()
                .indefinitely();
    }

    private Uni<FleetRouter> query(String address, Map<String, String> names) {
        return admin.get(address, "/status")
                .map(json -> FleetRouter.responding(address, convert(json, RouterStatus.class)))
                .onFailure(BaobabcartException.class)
                .recoverWithItem(failure ->
                        FleetRouter.unresponsive(names.getOrDefault(address, ""), "", address, failure.getMessage()));
    }

    private static Fleet merge(Collection<FleetRouter> queried, List<VirtualMachine> listed) {
        Map<String, FleetRouter> byName = new LinkedHashMap<>();
        for (FleetRouter router : queried) {
            if (!router.name().isEmpty() && (router.status().isPresent() || !byName.containsKey(router.name()))) {
                byName.put(router.name(), router);
            }
        }
        for (VirtualMachine machine : listed) {
            String problem = "listed as live, but no router knows it";
            byName.putIfAbsent(
                    machine.name(), FleetRouter.unresponsive(machine.name(), machine.dataCentre(), "", problem));
        }
        return new Fleet(List.copyOf(byName.values()));
    }

    private static boolean isMissing(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private static String host(String address) {
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }

    private static <T> T convert(JsonNode json, Class<T> type) {
        try {
            return MAPPER.treeToValue(json, type);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_FAILED, "the response has an unexpected structure")
                    .withCause(exception);
        }
    }
}
