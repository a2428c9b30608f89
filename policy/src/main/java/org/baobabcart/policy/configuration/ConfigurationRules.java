package org.baobabcart.policy.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.ConfigurationEntries;
import org.baobabcart.model.gateway.KeyHolder;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.ServiceEntry;
import org.baobabcart.model.gateway.TenantEntry;
import org.baobabcart.model.gateway.WeightedService;

/** Finds entries of a configuration that cannot be served, never match a request or contradict each other. Not thread-safe. */
public final class ConfigurationRules {
    private final ConfigurationEntries entries;
    private final OptionalLong bodyMemory;
    private final List<ConfigurationFinding> findings = new ArrayList<>();

    private ConfigurationRules(ConfigurationEntries entries, OptionalLong bodyMemory) {
        this.entries = entries;
        this.bodyMemory = bodyMemory;
    }

    /**
     * Returns the findings in the order of the entries: limits, services, routes, holders of keys.
     *
     * @param bodyMemory the memory of a router for the bodies of all its requests, in bytes; empty if it is unknown
     */
    public static List<ConfigurationFinding> findings(ConfigurationEntries entries, OptionalLong bodyMemory) {
        ConfigurationRules rules = new ConfigurationRules(entries, bodyMemory);
        rules.checkLimits();
        rules.checkServices();
        rules.checkRoutes();
        rules.checkTenants();
        return List.copyOf(rules.findings);
    }

    /**
     * Returns a finding if routers with one configuration do not take over the other because of its version.
     *
     * @param isChanged whether the configurations differ in effect
     */
    public static Optional<ConfigurationFinding> versionFinding(long before, long after, boolean isChanged) {
        if (after > before || after == before && !isChanged) {
            return Optional.empty();
        }
        String message = "routers that hold version " + before + " do not take over "
                + (after == before ? "changes without a higher version" : "version " + after);
        return Optional.of(new ConfigurationFinding(FindingKind.UNUSABLE, EntryPlace.of(EntryField.VERSION), message));
    }

    private void checkLimits() {
        CallerLimits limits = entries.limits();
        if (limits.maxHeaderBytes() == 0) {
            add(
                    FindingKind.UNUSABLE,
                    EntryPlace.of(EntryField.LIMIT_HEADER_BYTES),
                    "no request has headers of 0 bytes; routers use a limit of their own");
        }
        if (limits.headerTimeout().isZero()) {
            add(
                    FindingKind.UNUSABLE,
                    EntryPlace.of(EntryField.LIMIT_HEADER_TIMEOUT),
                    "no request arrives in 0 ms; routers use a limit of their own");
        }
        if (limits.idleTimeout().isZero()) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.LIMIT_IDLE_TIMEOUT),
                    "no connection is kept for a second request");
        }
        if (bodyMemory.isPresent() && limits.maxBodyBytes() > bodyMemory.getAsLong()) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.LIMIT_BODY_BYTES),
                    "a router holds bodies of " + bodyMemory.getAsLong() + " bytes at most, all requests together");
        }
    }

    private void checkServices() {
        Map<String, Integer> last = new HashMap<>();
        for (int index = 0; index < entries.services().size(); index++) {
            last.put(entries.services().get(index).name(), index);
        }
        for (int index = 0; index < entries.services().size(); index++) {
            ServiceEntry service = entries.services().get(index);
            if (last.get(service.name()) != index) {
                add(
                        FindingKind.CONTRADICTION,
                        EntryPlace.of(EntryField.SERVICE_NAME, index),
                        service.name() + " is listed again as entry " + last.get(service.name()));
            }
            if (service.isWarmUpIncomplete()) {
                add(
                        FindingKind.CONTRADICTION,
                        EntryPlace.of(EntryField.SERVICE_WARM_UP, index),
                        "a warm-up needs both a duration and a rate above 0; without one of them, none is in force");
            }
        }
    }

    private void checkRoutes() {
        Set<String> listed = entries.services().stream().map(ServiceEntry::name).collect(Collectors.toSet());
        Map<RouteKey, Integer> first = new HashMap<>();
        for (int index = 0; index < entries.routes().size(); index++) {
            Route route = entries.routes().get(index);
            checkMatch(index, route, first);
            checkWeights(index, route);
            checkListed(index, route, listed);
            checkTimes(index, route);
        }
    }

    private void checkMatch(int index, Route route, Map<RouteKey, Integer> first) {
        Integer earlier = first.putIfAbsent(RouteKey.of(route), index);
        if (earlier != null) {
            String name = entries.routes().get(earlier).name();
            add(
                    FindingKind.NEVER_MATCHES,
                    EntryPlace.of(EntryField.ROUTE_PREFIX, index),
                    "route " + name + " (entry " + earlier + ") has the same host and prefix and gets all requests");
        }
        if (!route.pathPrefix().endsWith("/") || route.pathPrefix().contains("?")) {
            add(
                    FindingKind.NEVER_MATCHES,
                    EntryPlace.of(EntryField.ROUTE_PREFIX, index),
                    "a prefix must end with a slash and contain no query");
        } else if (!route.pathPrefix().startsWith("/")) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.ROUTE_PREFIX, index),
                    "a prefix should begin with a slash, as paths do");
        }
    }

    private void checkWeights(int index, Route route) {
        double total = RouteShares.totalWeight(route);
        int last = route.services().size() - 1;
        if (total == 0) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.ROUTE_SERVICES, index),
                    "all weights are 0; " + route.services().get(last).service() + " gets all requests");
        }
        for (int part = 0; part <= last; part++) {
            boolean getsTheRest = total == 0 && part == last;
            if (route.services().get(part).weight() == 0 && !getsTheRest) {
                add(
                        FindingKind.NEVER_MATCHES,
                        new EntryPlace(EntryField.ROUTE_WEIGHT, index, part),
                        route.services().get(part).service() + " has weight 0 on route " + route.name());
            }
        }
    }

    private void checkListed(int index, Route route, Set<String> listed) {
        for (int part = 0; part < route.services().size(); part++) {
            WeightedService service = route.services().get(part);
            if (!listed.isEmpty() && !listed.contains(service.service())) {
                add(
                        FindingKind.UNUSABLE,
                        new EntryPlace(EntryField.ROUTE_SERVICE, index, part),
                        "service " + service.service() + " of route " + route.name() + " is not listed");
            }
        }
    }

    private void checkTimes(int index, Route route) {
        Duration timeout = route.timeout();
        if (route.maxAttempts() == 0) {
            add(FindingKind.UNUSABLE, EntryPlace.of(EntryField.ROUTE_ATTEMPTS, index), "no request may be sent");
        }
        if (timeout.isZero()) {
            add(FindingKind.UNUSABLE, EntryPlace.of(EntryField.ROUTE_TIMEOUT, index), "no response arrives in 0 ms");
        } else if (timeout.compareTo(route.latencyTarget()) < 0) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.ROUTE_TIMEOUT, index),
                    "the time-out of %d ms is below the latency target of %d ms"
                            .formatted(timeout.toMillis(), route.latencyTarget().toMillis()));
        }
        if (route.latencyTarget().isZero()) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.ROUTE_LATENCY_TARGET, index),
                    "no response meets a latency target of 0 ms");
        }
        if (route.eventGapTarget().compareTo(timeout) > 0) {
            add(
                    FindingKind.CONTRADICTION,
                    EntryPlace.of(EntryField.ROUTE_GAP_TARGET, index),
                    "the target of %d ms between two events is above the time-out of %d ms"
                            .formatted(route.eventGapTarget().toMillis(), timeout.toMillis()));
        }
    }

    private void checkTenants() {
        List<TenantEntry> tenants = entries.tenants().orElse(List.of());
        Map<String, KeyHolder> holders = entries.holders();
        Set<String> seen = new HashSet<>();
        // Of equal keys the last one holds, so that the entries are visited from the end and all but the first visited
        // are found.
        List<ConfigurationFinding> reversed = new ArrayList<>();
        for (int index = tenants.size() - 1; index >= 0; index--) {
            TenantEntry tenant = tenants.get(index);
            if (tenant.keys().isEmpty()) {
                reversed.add(new ConfigurationFinding(
                        FindingKind.NEVER_MATCHES,
                        EntryPlace.of(EntryField.TENANT_KEYS, index),
                        tenant.holder().workspace() + " has no keys"));
            }
            for (int part = tenant.keys().size() - 1; part >= 0; part--) {
                String key = tenant.keys().get(part);
                if (!seen.add(key)) {
                    reversed.add(
                            repeatedKey(new EntryPlace(EntryField.TENANT_KEY, index, part), tenant, holders.get(key)));
                }
            }
        }
        for (int index = reversed.size() - 1; index >= 0; index--) {
            findings.add(reversed.get(index));
        }
    }

    private static ConfigurationFinding repeatedKey(EntryPlace place, TenantEntry tenant, KeyHolder holder) {
        return holder.equals(tenant.holder())
                ? new ConfigurationFinding(
                        FindingKind.CONTRADICTION, place, "the key of " + holder.workspace() + " is listed again")
                : new ConfigurationFinding(
                        FindingKind.NEVER_MATCHES,
                        place,
                        "the key of " + HolderText.of(tenant.holder()) + " is also one of " + HolderText.of(holder)
                                + ", listed later, whose it is");
    }

    private void add(FindingKind kind, EntryPlace place, String message) {
        findings.add(new ConfigurationFinding(kind, place, message));
    }
}
