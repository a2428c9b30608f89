package org.baobabcart.policy.claim;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Choice of a partition's owner by rendezvous hashing: of the routers that take part, the one with the highest hash of
 * router and partition. A router that comes or goes moves only its own share. Thread-safe.
 *
 * <p>Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
 * Networking 6(1), 1998.
 */
public final class PartitionOwnerSelector {
    /** Journals in the platform, the same at every router; each router writes its share. */
    public static final int PARTITIONS = 128;

    private PartitionOwnerSelector() {}

    /** The routers in the order in which they are to own the partition. */
    public static List<String> ranked(String partition, Collection<String> nodeIds) {
        return RendezvousHash.ranked(partition, nodeIds, Function.<String>identity());
    }
}
