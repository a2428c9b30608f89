package org.baobabcart.router.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.upstream.Candidate;
import org.baobabcart.policy.upstream.LoadReport;
import org.baobabcart.policy.upstream.UpstreamPolicy;
import org.baobabcart.router.view.TrafficView;

/** Which upstream a piece of work goes to, by what one router knows of each upstream's load. Guarded by the dispatcher's lock. */
final class Placement {
    private final DispatcherSettings settings;
    private final UpstreamHealth health;
    private final UpstreamPolicy policy;
    private final DoubleSupplier random = new Random()::nextDouble;
    private final PoolIndex index = new PoolIndex();
    private final Map<String, UpstreamState> states = new HashMap<>();

    private Placement(DispatcherSettings settings, UpstreamHealth health) {
        this.settings = settings;
        this.health = health;
        this.policy = UpstreamPolicy.of(settings.router(), settings.subset());
    }

    static Placement create(DispatcherSettings settings, UpstreamHealth health) {
        return new Placement(settings, health);
    }

    boolean isListed(TrafficView view, VirtualMachine upstream) {
        return index.isListed(view, upstream);
    }

    List<VirtualMachine> members(TrafficView view, Pool pool) {
        return index.members(view, pool);
    }

    /** Whether any upstream of the pool may get one more request. */
    boolean hasRoom(TrafficView view, Pool pool) {
        return candidates(view, pool, Set.of(), "").stream().anyMatch(Candidate::hasCapacity);
    }

    /** The upstream for the work, in which it is counted from now on; empty where none has room. */
    Optional<VirtualMachine> choose(TrafficView view, Work work) {
        return chooseAmong(view, work, candidates(view, work.pool(), work.avoid(), work.affinity()));
    }

    /** As {@link #choose}, the upstreams that have failed the work among them. */
    Optional<VirtualMachine> chooseAmongAll(TrafficView view, Work work) {
        return chooseAmong(view, work, candidates(view, work.pool(), Set.of(), work.affinity()));
    }

    /** An answer has begun. */
    void observed(VirtualMachine upstream, long latencyNanos, Optional<LoadReport> report) {
        state(upstream).observed(latencyNanos, report, System.nanoTime());
    }

    /** Work that was placed at the upstream has ended there. */
    void ended(VirtualMachine upstream, Optional<FailureKind> failure) {
        state(upstream).ended(failure);
    }

    /** Forgets upstreams without attempts that the view no longer lists; those with some go at a later change. */
    void forgetUnlisted(TrafficView view) {
        Set<String> listed = view.upstreams().stream().map(VirtualMachine::name).collect(Collectors.toSet());
        states.entrySet().removeIf(entry -> entry.getValue().isIdle() && !listed.contains(entry.getKey()));
    }

    private Optional<VirtualMachine> chooseAmong(TrafficView view, Work work, List<Candidate> candidates) {
        return policy.choose(candidates, work.affinity(), random).map(chosen -> {
            states.get(chosen.name()).began();
            return members(view, work.pool()).stream()
                    .filter(member -> member.name().equals(chosen.name()))
                    .findFirst()
                    .orElseThrow();
        });
    }

    private List<Candidate> candidates(TrafficView view, Pool pool, Set<String> avoid, String affinity) {
        boolean across = settings.affinityAcross() && !affinity.isEmpty();
        List<VirtualMachine> members = health.willing(members(view, pool));
        List<VirtualMachine> sound = members.stream()
                .filter(member -> !health.isDoubtful(member.name()))
                .toList();
        List<VirtualMachine> preferred = sound.isEmpty() ? members : sound;
        List<VirtualMachine> untried = preferred.stream()
                .filter(member -> !avoid.contains(member.name()))
                .toList();
        long now = System.nanoTime();
        return subset(untried.isEmpty() ? preferred : untried).stream()
                .map(member ->
                        state(member).candidate(member, across ? member.dataCentre() : settings.dataCentre(), now))
                .toList();
    }

    private List<VirtualMachine> subset(List<VirtualMachine> members) {
        if (members.size() <= settings.subset()) {
            return members;
        }
        Map<Boolean, List<String>> names = members.stream()
                .collect(Collectors.partitioningBy(
                        member -> member.dataCentre().equals(settings.dataCentre()),
                        Collectors.mapping(VirtualMachine::name, Collectors.toList())));
        Set<String> kept = new HashSet<>(policy.subset(names.get(true)));
        kept.addAll(policy.subset(names.get(false)));
        return members.stream().filter(member -> kept.contains(member.name())).toList();
    }

    private UpstreamState state(VirtualMachine upstream) {
        return states.computeIfAbsent(upstream.name(), ignored -> UpstreamState.create(upstream.role()));
    }
}
