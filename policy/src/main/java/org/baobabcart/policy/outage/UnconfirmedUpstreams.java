package org.baobabcart.policy.outage;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * Decides on upstreams that the store no longer lists, but whose registrations may only have lapsed during an outage.
 *
 * <p>They get no new work, which is right if they have left and costs little if they have not. Only a service that has lost most of its upstreams at
 * once goes on using them, since an outage explains that better than departures do, and the others could not take its work.
 */
public final class UnconfirmedUpstreams {
    private UnconfirmedUpstreams() {}

    /** Returns all upstreams, of which those that get no new work are leaving. */
    public static List<VirtualMachine> withoutNewWork(Collection<VirtualMachine> machines, Set<String> unconfirmed) {
        if (unconfirmed.isEmpty()) {
            return List.copyOf(machines);
        }
        Map<String, Long> missingByService = machines.stream()
                .filter(machine -> unconfirmed.contains(machine.name()))
                .collect(Collectors.groupingBy(VirtualMachine::service, Collectors.counting()));
        Map<String, Long> listedByService = machines.stream()
                .filter(machine ->
                        !unconfirmed.contains(machine.name()) && machine.state() == VirtualMachine.State.LIVE)
                .collect(Collectors.groupingBy(VirtualMachine::service, Collectors.counting()));
        return machines.stream()
                .map(machine -> unconfirmed.contains(machine.name())
                                && missingByService.get(machine.service())
                                        <= listedByService.getOrDefault(machine.service(), 0L)
                        ? machine.withState(VirtualMachine.State.LEAVING)
                        : machine)
                .toList();
    }
}
