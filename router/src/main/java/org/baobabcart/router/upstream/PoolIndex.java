package org.baobabcart.router.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.view.TrafficView;

/** Caches the listed upstreams and the members of each pool for the current view. Guarded by the dispatcher's lock. */
final class PoolIndex {
    private final Map<Pool, List<VirtualMachine>> members = new HashMap<>();
    private final Set<VirtualMachine> listed = new HashSet<>();
    private List<VirtualMachine> indexedUpstreams = List.of();

    boolean isListed(TrafficView view, VirtualMachine upstream) {
        refresh(view);
        return listed.contains(upstream);
    }

    List<VirtualMachine> members(TrafficView view, Pool pool) {
        refresh(view);
        return members.computeIfAbsent(
                pool, key -> indexedUpstreams.stream().filter(key::includes).toList());
    }

    private void refresh(TrafficView view) {
        if (view.upstreams() != indexedUpstreams) {
            indexedUpstreams = view.upstreams();
            listed.clear();
            listed.addAll(indexedUpstreams);
            members.clear();
        }
    }
}
