package org.baobabcart.router.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.departure.PlacementReason;
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
    private final DepartureObserver departureObserver;
    private final Departures departures;
    private final PoolIndex index = new PoolIndex();
    private final Map<String, UpstreamLoad> loads = new HashMap<>();

    private UpstreamSelector(DispatcherSettings settings, UpstreamHealth health, DepartureObserver departureObserver) {
        this.settings = settings;
        this.health = health;
        this.departureObserver = departureObserver;
        this.departures = Departures.create(settings.dataCentre(), departureObserver, random);
        this.policy = UpstreamPolicy.of(settings.router(), settings.subsetSize());
    }

    static UpstreamSelector create(
            DispatcherSettings settings, UpstreamHealth health, DepartureObserver departureObserver) {
        return new UpstreamSelector(settings, health, departureObserver);
    }

    boolean isListed(TrafficView view, VirtualMachine upstream) {
        return index.isListed(view, upstream);
    }

    List<VirtualMachine> members(TrafficView view, Pool pool) {
        return index.members(view, pool);
    }

    /** Returns whether any upstream of the pool can take one more request. */
    boolean hasCapacity(TrafficView view, Pool pool) {
        return candidates(eligible(view, pool, Set.of()), true).stream().anyMatch(UpstreamCandidate::hasCapacity);
    }

    /** Records a new request, before it waits. */
    void recordRequest(SlotRequest request) {
        departures.recordRequest(request, System.nanoTime());
    }

    /**
     * Selects an upstream and counts the request there; empty if no upstream has a free slot. Avoids upstreams where
     * the request has failed, unless there are no others.
     */
    Optional<VirtualMachine> choose(TrafficView view, SlotRequest request) {
        return chooseAvoiding(view, request, request.avoidedUpstreams());
    }

    /** As {@link #choose}, but includes the upstreams where the request has failed. */
    Optional<VirtualMachine> chooseAmongAll(TrafficView view, SlotRequest request) {
        return chooseAvoiding(view, request, Set.of());
    }

    /** Records the head of a response. */
    void recordResponse(
            Pool pool, VirtualMachine upstream, long latencyNanos, int status, Optional<LoadReport> report) {
        long now = System.nanoTime();
        load(upstream).responseStarted(latencyNanos, report, now);
        departures.recordResponse(pool, upstream.dataCentre(), latencyNanos, status, now);
    }

    /** Records how long a new connection took. */
    void recordConnection(Pool pool, VirtualMachine upstream, long nanos) {
        departures.recordConnection(pool, upstream.dataCentre(), nanos, System.nanoTime());
    }

    /** Records that a request counted by {@link #choose} has ended. */
    void release(Pool pool, VirtualMachine upstream, Optional<FailureKind> failure) {
        load(upstream).requestEnded(failure);
        failure.ifPresent(ignored -> departures.recordFailure(pool, upstream.dataCentre(), System.nanoTime()));
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
        departures.removeIf(pool -> members(view, pool).isEmpty());
    }

    private Optional<VirtualMachine> chooseAvoiding(
            TrafficView view, SlotRequest request, Set<String> avoidedUpstreams) {
        List<VirtualMachine> eligible = eligible(view, request.pool(), avoidedUpstreams);
        return chooseAmong(eligible, request).filter(health::tryTakePermit).map(member -> {
            loads.get(member.name()).requestStarted();
            return member;
        });
    }

    private Optional<VirtualMachine> chooseAmong(List<VirtualMachine> eligible, SlotRequest request) {
        boolean crossDataCentre =
                settings.crossDataCentreAffinity() && !request.affinity().isEmpty();
        List<UpstreamCandidate> candidates = candidates(eligible, crossDataCentre);
        boolean severalDataCentres =
                eligible.stream().map(VirtualMachine::dataCentre).distinct().count() > 1;
        if (!settings.departures() || !severalDataCentres) {
            return named(eligible, policy.choose(candidates, request.affinity(), random));
        }
        long now = System.nanoTime();
        if (!crossDataCentre) {
            return chooseDataCentre(eligible, request, now);
        }
        Optional<VirtualMachine> chosen = named(eligible, policy.choose(candidates, request.affinity(), random))
                .filter(upstream ->
                        isLocal(upstream) || departures.isCachedPrefixWorthTheWay(request, upstream.dataCentre(), now));
        chosen.ifPresent(upstream -> recordPlacement(upstream, PlacementReason.PROMPT_CACHED));
        return chosen.or(() -> chooseDataCentre(eligible, request, now));
    }

    /** Selects the data centre first and then an upstream there. */
    private Optional<VirtualMachine> chooseDataCentre(
            List<VirtualMachine> eligible, SlotRequest request, long nowNanos) {
        Map<String, List<UpstreamCandidate>> byDataCentre = new LinkedHashMap<>();
        eligible.stream()
                .collect(Collectors.groupingBy(VirtualMachine::dataCentre))
                .forEach((dataCentre, members) -> byDataCentre.put(dataCentre, candidates(members, true)));
        List<String> order = departures.order(request, byDataCentre, nowNanos);
        Optional<VirtualMachine> chosen = order.stream()
                .flatMap(dataCentre -> policy.choose(byDataCentre.get(dataCentre), request.affinity(), random).stream())
                .findFirst()
                .flatMap(candidate -> named(eligible, Optional.of(candidate)));
        PlacementReason reason =
                order.contains(settings.dataCentre()) ? PlacementReason.SLOWER : PlacementReason.NONE_LOCAL;
        chosen.ifPresent(upstream -> recordPlacement(upstream, reason));
        return chosen;
    }

    private void recordPlacement(VirtualMachine upstream, PlacementReason reasonToLeave) {
        departureObserver.placed(upstream.dataCentre(), isLocal(upstream) ? PlacementReason.LOCAL : reasonToLeave);
    }

    private boolean isLocal(VirtualMachine upstream) {
        return upstream.dataCentre().equals(settings.dataCentre());
    }

    private static Optional<VirtualMachine> named(List<VirtualMachine> members, Optional<UpstreamCandidate> candidate) {
        return candidate.map(chosen -> members.stream()
                .filter(member -> member.name().equals(chosen.name()))
                .findFirst()
                .orElseThrow());
    }

    /** Returns the upstreams that accept requests; suspected and avoided ones only if there are no others. */
    private List<VirtualMachine> eligible(TrafficView view, Pool pool, Set<String> avoidedUpstreams) {
        List<VirtualMachine> members = health.acceptingRequests(members(view, pool));
        List<VirtualMachine> healthy = members.stream()
                .filter(member -> !health.isDeprioritized(member.name()))
                .toList();
        List<VirtualMachine> preferred = healthy.isEmpty() ? members : healthy;
        List<VirtualMachine> untried = preferred.stream()
                .filter(member -> !avoidedUpstreams.contains(member.name()))
                .toList();
        return subset(untried.isEmpty() ? preferred : untried);
    }

    /** Returns candidates, all of which are regarded as local if data centres are treated alike. */
    private List<UpstreamCandidate> candidates(List<VirtualMachine> eligible, boolean allDataCentresAlike) {
        long now = System.nanoTime();
        return eligible.stream()
                .map(member -> load(member)
                        .candidate(member, allDataCentresAlike ? member.dataCentre() : settings.dataCentre(), now))
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
