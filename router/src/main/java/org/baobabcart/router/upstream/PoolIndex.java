package org.baobabcart.router.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.view.TrafficView;

/** The members of each pool, computed once a view. Guarded by the dispatcher's lock. */
final class PoolIndex {
    private final Map<Pool, List<VirtualMachine>> members = new HashMap<>();
    private List<VirtualMachine> indexed = List.of();

    List<VirtualMachine> members(TrafficView view, Pool pool) {
        if (view.upstreams() != indexed) {
            indexed = view.upstreams();
            members.clear();
        }
        return members.computeIfAbsent(
                pool, key -> indexed.stream().filter(key::includes).toList());
    }
}
