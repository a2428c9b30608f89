package org.baobabcart.policy.upstream;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Highest-random-weight hashing: every node that knows the same members orders them for a key in the same way, and the
 * loss of a member moves only that member's keys. Published by Thaler and Ravishankar, "Using name-based mappings to
 * increase hit rates" (1998).
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** The members from the highest to the lowest score for a key. */
    public static <T> List<T> order(String key, List<T> members, Function<T, String> name) {
        return members.stream()
                .sorted(Comparator.<T>comparingLong(member -> score(key, name.apply(member)))
                        .reversed()
                        .thenComparing(name))
                .toList();
    }

    /** The score of a member for a key: FNV-1a over both, mixed by the finaliser of SplitMix64. */
    public static long score(String key, String member) {
        long hash = fold(FNV_OFFSET, key);
        hash = fold((hash ^ '\n') * FNV_PRIME, member);
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    private static long fold(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }
}
