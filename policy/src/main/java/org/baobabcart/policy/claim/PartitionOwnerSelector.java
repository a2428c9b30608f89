package org.baobabcart.policy.claim;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Selects the owner of a partition by rendezvous hashing: the participating router with the highest hash of router and
 * partition. A router that joins or leaves moves only its own share of the partitions. Stateless.
 *
 * <p>Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
 * Networking 6(1), 1998.
 */
public final class PartitionOwnerSelector {
    /** The number of journals in the platform. It is the same on all routers; each router writes its share. */
    public static final int PARTITIONS = 128;

    private PartitionOwnerSelector() {}

    /** Returns the routers by their preference as owner of the partition. */
    public static List<String> ranked(String partition, Collection<String> nodeIds) {
        return RendezvousHash.ranked(partition, nodeIds, Function.<String>identity());
    }
}
