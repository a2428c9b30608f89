package org.baobabcart.policy.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Gives duties to nodes by highest random weight, so that the loss of a node moves only its own duties.
 *
 * <p>The method is that of Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998). Thread-safe.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** The nodes of the greatest weights for a duty, at most as many as asked for, the greatest first. */
    public static List<String> top(String duty, Collection<String> nodeIds, int count) {
        return nodeIds.stream()
                .sorted(Comparator.comparingLong((String nodeId) -> weight(duty, nodeId))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    static long weight(String duty, String nodeId) {
        return mix(hash(FNV_OFFSET, duty) ^ mix(hash(FNV_OFFSET, nodeId)));
    }

    private static long hash(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
