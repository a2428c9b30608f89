package org.baobabcart.policy.claim;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Choice of a partition's owner by rendezvous hashing: of the routers that take part, the one with the highest hash of
 * router and partition. A router that comes or goes moves only its own share. Thread-safe.
 *
 * <p>Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
 * Networking 6(1), 1998.
 */
public final class PartitionOwners {
    /** Journals in the platform, the same at every router; each router writes its share. */
    public static final int PARTITIONS = 128;

    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private PartitionOwners() {}

    /** The routers in the order in which they are to own the partition. */
    public static List<String> ranked(String partition, Collection<String> nodeIds) {
        return nodeIds.stream()
                .sorted(Comparator.comparingLong((String nodeId) -> weight(partition, nodeId))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long weight(String partition, String nodeId) {
        long hash = GOLDEN_GAMMA;
        for (char character : (partition + "/" + nodeId).toCharArray()) {
            hash = mix(hash ^ character);
        }
        return hash;
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). */
    private static long mix(long value) {
        long first = (value + GOLDEN_GAMMA ^ (value + GOLDEN_GAMMA) >>> 30) * 0xBF58476D1CE4E5B9L;
        long second = (first ^ first >>> 27) * 0x94D049BB133111EBL;
        return second ^ second >>> 31;
    }
}
