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
 * Finds every live router: from addresses given by the operator, those kept in the platform and the list of VMs it asks
 * some routers, and then all the routers that these know.
 *
 * <p>A router that the list of VMs shows as live but that no router knows is kept as silent, so that a change is never
 * called complete without it. Used by one thread.
 */
public final class FleetFinder {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final int PARALLEL_CALLS = 64;
    private static final long MOST_PORT = 65_535;

    private final AdminClient admin;
    private final ObjectStore store;
    private final Arguments arguments;

    private FleetFinder(AdminClient admin, ObjectStore store, Arguments arguments) {
        this.admin = admin;
        this.store = store;
        this.arguments = arguments;
    }

    /** A finder that takes its starting points from the arguments and the platform. */
    public static FleetFinder create(AdminClient admin, ObjectStore store, Arguments arguments) {
        return new FleetFinder(admin, store, arguments);
    }

    /**
     * Asks all routers for their status.
     *
     * @throws BaobabcartException with {@code UPSTREAM_UNREACHABLE} if there is no starting point or no router answers
     */
    public Fleet find() {
        FleetEndpoints endpoints = endpoints();
        List<VirtualMachine> listed = listedRouters(endpoints);
        Set<String> seeds = seeds(endpoints, listed);
        if (seeds.isEmpty()) {
            String detail = "no router is known; give " + CommonFlags.ROUTERS.name() + " or "
                    + CommonFlags.VIRTUAL_MACHINES.name();
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, detail);
        }
        Map<String, FleetRouter> byAddress = askAll(seeds);
        Fleet fleet = merge(byAddress.values(), listed);
        if (fleet.answering().isEmpty()) {
            String detail = "no router answered; asked: " + String.join(", ", byAddress.keySet());
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, detail);
        }
        return fleet;
    }

    private FleetEndpoints endpoints() {
        boolean given = arguments.optional(CommonFlags.ROUTERS).isPresent()
                || arguments.optional(CommonFlags.VIRTUAL_MACHINES).isPresent();
        return store.read(ObjectKinds.ENDPOINTS, ObjectKinds.CURRENT)
                .map(object -> convert(object.spec(), FleetEndpoints.class))
                .onFailure(failure -> given || isMissing(failure))
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
            long port = arguments.number(CommonFlags.ADMIN_PORT, 1, MOST_PORT);
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
        JsonNode answer = admin.get(address.get() + "/vms")
                .onFailure(BaobabcartException.class)
                .recoverWithItem(() -> MAPPER.createObjectNode())
                .await()
                .indefinitely();
        List<VirtualMachine> routers = new ArrayList<>();
        for (JsonNode entry : answer.path("virtualMachines")) {
            VirtualMachine machine = convert(entry, VirtualMachine.class);
            if (machine.role() == VirtualMachine.Role.ROUTER && machine.state() == VirtualMachine.State.LIVE) {
                routers.add(machine);
            }
        }
        return routers;
    }

    private Map<String, FleetRouter> askAll(Set<String> seeds) {
        Map<String, FleetRouter> asked = new LinkedHashMap<>();
        Map<String, String> names = new LinkedHashMap<>();
        Set<String> toAsk = new LinkedHashSet<>(seeds);
        while (!toAsk.isEmpty()) {
            List<FleetRouter> answers = ask(toAsk, names);
            Set<String> next = new LinkedHashSet<>();
            for (FleetRouter router : answers) {
                asked.put(router.adminAddress(), router);
                router.status().ifPresent(status -> addMembers(status, names, next));
            }
            next.removeAll(asked.keySet());
            toAsk = next;
        }
        return asked;
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

    private List<FleetRouter> ask(Set<String> addresses, Map<String, String> names) {
        return Uni.join()
                .all(addresses.stream().map(address -> ask(address, names)).toList())
                .usingConcurrencyOf(PARALLEL_CALLS)
                .andFailFast()
                .await()
                .indefinitely();
    }

    private Uni<FleetRouter> ask(String address, Map<String, String> names) {
        return admin.get(address, "/status")
                .map(json -> FleetRouter.answered(address, convert(json, RouterStatus.class)))
                .onFailure(BaobabcartException.class)
                .recoverWithItem(failure ->
                        FleetRouter.silent(names.getOrDefault(address, ""), "", address, failure.getMessage()));
    }

    private static Fleet merge(Collection<FleetRouter> asked, List<VirtualMachine> listed) {
        Map<String, FleetRouter> byName = new LinkedHashMap<>();
        for (FleetRouter router : asked) {
            if (!router.name().isEmpty() && (router.status().isPresent() || !byName.containsKey(router.name()))) {
                byName.put(router.name(), router);
            }
        }
        for (VirtualMachine machine : listed) {
            String problem = "listed as live, but no router knows it";
            byName.putIfAbsent(machine.name(), FleetRouter.silent(machine.name(), machine.dataCentre(), "", problem));
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
            throw BaobabcartException.of(ResultCode.UPSTREAM_FAILED, "the answer has another shape than expected")
                    .withCause(exception);
        }
    }
}
