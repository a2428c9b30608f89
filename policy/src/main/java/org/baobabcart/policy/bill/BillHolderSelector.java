package org.baobabcart.policy.bill;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.baobabcart.policy.claim.PartitionOwnerSelector;

/**
 * Which routers are asked to hold a node's bills. A data centre has few writers, chosen by rendezvous hashing; a node
 * hands its bills to one of them that is another VM, so that few routers write to the platform. Thread-safe.
 */
public final class BillHolderSelector {
    /** Writers of each data centre; two, so that each writer has another one to hold its own bills. */
    public static final int WRITERS = 2;

    private BillHolderSelector() {}

    /**
     * The routers to ask, in this order: a writer of the data centre, the other writer, and a router of another data
     * centre.
     *
     * @param self this node
     * @param dataCentre its data centre
     * @param local eligible routers of the data centre
     * @param remote eligible routers of other data centres
     */
    public static List<String> ranked(
            String self, String dataCentre, Collection<String> local, Collection<String> remote) {
        List<String> writers = new ArrayList<>(PartitionOwnerSelector.ranked("bills-" + dataCentre, local).stream()
                .limit(WRITERS)
                .filter(nodeId -> !nodeId.equals(self))
                .toList());
        List<String> choice = new ArrayList<>(PartitionOwnerSelector.ranked(self, writers));
        PartitionOwnerSelector.ranked(self, remote).stream().findFirst().ifPresent(choice::add);
        return choice;
    }
}
