package org.baobabcart.router.member;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * Addresses at which other routers may be contacted: configured ones and those in the list of VMs. Confined to the
 * control thread.
 */
final class SeedList {
    private final List<String> fixed;
    private List<String> listed = List.of();

    private SeedList(List<String> fixed) {
        this.fixed = List.copyOf(fixed);
    }

    static SeedList create(List<String> fixed) {
        return new SeedList(fixed);
    }

    void update(List<VirtualMachine> machines) {
        listed = machines.stream()
                .filter(machine -> machine.role() == VirtualMachine.Role.ROUTER)
                .map(VirtualMachine::address)
                .toList();
    }

    List<String> allExcept(String ownAddress) {
        Set<String> all = new LinkedHashSet<>(fixed);
        all.addAll(listed);
        all.remove(ownAddress);
        return List.copyOf(all);
    }
}
