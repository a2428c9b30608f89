package org.baobabcart.policy.bill;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.baobabcart.policy.claim.PartitionOwnerSelector;

/**
 * Selects the routers that are asked to hold a node's bills. Each data centre has few writers, selected by rendezvous
 * hashing, so that few routers write to the platform. A node offers its bills to a writer on another VM. Stateless.
 */
public final class BillHolderSelector {
    /** The number of writers per data centre: two, so that each writer has another one to hold its own bills. */
    public static final int WRITERS = 2;

    private BillHolderSelector() {}

    /**
     * Returns the routers to ask, in this order: the writers of the data centre other than this node, and one router of
     * another data centre.
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
