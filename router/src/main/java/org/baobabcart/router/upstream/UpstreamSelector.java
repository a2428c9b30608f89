package org.baobabcart.router.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.upstream.LoadReport;
import org.baobabcart.policy.upstream.UpstreamCandidate;
import org.baobabcart.policy.upstream.UpstreamPolicy;
import org.baobabcart.router.view.TrafficView;

/** Selects the upstream for a request, based on the known load of each upstream. Guarded by the dispatcher's lock. */
final class UpstreamSelector {
    private final DispatcherSettings settings;
    private final UpstreamHealth health;
    private final UpstreamPolicy policy;
    private final DoubleSupplier random = new Random()::nextDouble;
    private final PoolIndex index = new PoolIndex();
    private final Map<String, UpstreamLoad> loads = new HashMap<>();

    private UpstreamSelector(DispatcherSettings settings, UpstreamHealth health) {
        this.settings = settings;
        this.health = health;
        this.policy = UpstreamPolicy.of(settings.router(), settings.subsetSize());
    }

    static UpstreamSelector create(DispatcherSettings settings, UpstreamHealth health) {
        return new UpstreamSelector(settings, health);
    }

    boolean isListed(TrafficView view, VirtualMachine upstream) {
        return index.isListed(view, upstream);
    }

    List<VirtualMachine> members(TrafficView view, Pool pool) {
        return index.members(view, pool);
    }

    /** Returns whether any upstream of the pool can take one more request. */
    boolean hasCapacity(TrafficView view, Pool pool) {
        return candidates(view, pool, Set.of(), "").stream().anyMatch(UpstreamCandidate::hasCapacity);
    }

    /**
     * Selects an upstream and counts the request there; empty if no upstream has a free slot. Avoids upstreams where
     * the request has failed, unless there are no others.
     */
    Optional<VirtualMachine> choose(TrafficView view, SlotRequest request) {
        return chooseAmong(
                view, request, candidates(view, request.pool(), request.avoidedUpstreams(), request.affinity()));
    }

    /** As {@link #choose}, but includes the upstreams where the request has failed. */
    Optional<VirtualMachine> chooseAmongAll(TrafficView view, SlotRequest request) {
        return chooseAmong(view, request, candidates(view, request.pool(), Set.of(), request.affinity()));
    }

    /** Records the head of a response. */
    void recordResponse(VirtualMachine upstream, long latencyNanos, Optional<LoadReport> report) {
        load(upstream).responseStarted(latencyNanos, report, System.nanoTime());
    }

    /** Records that a request counted by {@link #choose} has ended. */
    void release(VirtualMachine upstream, Optional<FailureKind> failure) {
        load(upstream).requestEnded(failure);
    }

    /** Returns the number of requests that run at upstreams in these data centres, listed or not. */
    int running(Predicate<String> dataCentres) {
        return loads.values().stream()
                .filter(load -> dataCentres.test(load.dataCentre()))
                .mapToInt(UpstreamLoad::inFlight)
                .sum();
    }

    /**
     * Removes idle upstreams that the view no longer lists. Those with requests in flight are removed at a later call.
     */
    void removeUnlisted(TrafficView view) {
        Set<String> listed = view.upstreams().stream().map(VirtualMachine::name).collect(Collectors.toSet());
        loads.entrySet().removeIf(entry -> entry.getValue().isIdle() && !listed.contains(entry.getKey()));
    }

    private Optional<VirtualMachine> chooseAmong(
            TrafficView view, SlotRequest request, List<UpstreamCandidate> candidates) {
        return policy.choose(candidates, request.affinity(), random)
                .map(chosen -> members(view, request.pool()).stream()
                        .filter(member -> member.name().equals(chosen.name()))
                        .findFirst()
                        .orElseThrow())
                .filter(health::tryTakePermit)
                .map(member -> {
                    loads.get(member.name()).requestStarted();
                    return member;
                });
    }

    private List<UpstreamCandidate> candidates(
            TrafficView view, Pool pool, Set<String> avoidedUpstreams, String affinity) {
        boolean crossDataCentre = settings.crossDataCentreAffinity() && !affinity.isEmpty();
        List<VirtualMachine> members = health.acceptingRequests(members(view, pool));
        List<VirtualMachine> healthy = members.stream()
                .filter(member -> !health.isDeprioritized(member.name()))
                .toList();
        List<VirtualMachine> preferred = healthy.isEmpty() ? members : healthy;
        List<VirtualMachine> untried = preferred.stream()
                .filter(member -> !avoidedUpstreams.contains(member.name()))
                .toList();
        long now = System.nanoTime();
        return subset(untried.isEmpty() ? preferred : untried).stream()
                .map(member -> load(member)
                        .candidate(member, crossDataCentre ? member.dataCentre() : settings.dataCentre(), now))
                .toList();
    }

    private List<VirtualMachine> subset(List<VirtualMachine> members) {
        if (members.size() <= settings.subsetSize()) {
            return members;
        }
        Map<Boolean, List<String>> names = members.stream()
                .collect(Collectors.partitioningBy(
                        member -> member.dataCentre().equals(settings.dataCentre()),
                        Collectors.mapping(VirtualMachine::name, Collectors.toList())));
        Set<String> selected = new HashSet<>(policy.subset(names.get(true)));
        selected.addAll(policy.subset(names.get(false)));
        return members.stream()
                .filter(member -> selected.contains(member.name()))
                .toList();
    }

    private UpstreamLoad load(VirtualMachine upstream) {
        return loads.computeIfAbsent(upstream.name(), ignored -> UpstreamLoad.create(upstream));
    }
}
