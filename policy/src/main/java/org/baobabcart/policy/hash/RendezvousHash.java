package org.baobabcart.policy.hash;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Assigns keys to nodes by rendezvous hashing (highest random weight), so that the loss of a node moves only its own
 * keys.
 *
 * <p>The method is that of Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
 * Thread-safe.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** A double holds 53 of the 64 bits. */
    private static final int UNUSED_BITS = 11;

    private static final double DOUBLE_UNIT = 0x1.0p-53;

    private RendezvousHash() {}

    /** Returns the nodes with the greatest weights for a key, in descending order and at most {@code count} of them. */
    public static List<String> top(String key, Collection<String> nodeIds, int count) {
        return ranked(key, nodeIds, Function.<String>identity()).stream()
                .limit(count)
                .toList();
    }

    /** Returns all members by descending weight for a key. */
    public static <T> List<T> ranked(String key, Collection<T> members, Function<T, String> name) {
        long keyHash = hash(FNV_OFFSET, key);
        return members.stream()
                .map(member -> Weighted.of(member, name.apply(member), keyHash))
                .sorted()
                .map(Weighted::member)
                .toList();
    }

    /** Returns the member with the greatest weight for a key, or empty if there are no members. */
    public static <T> Optional<T> first(String key, Collection<T> members, Function<T, String> name) {
        long keyHash = hash(FNV_OFFSET, key);
        return members.stream()
                .map(member -> Weighted.of(member, name.apply(member), keyHash))
                .min(Comparator.naturalOrder())
                .map(Weighted::member);
    }

    /**
     * Returns the weight of a node for a key, which is the same on every node and uniformly distributed over all
     * {@code long} values.
     */
    public static long weight(String key, String nodeId) {
        return weight(hash(FNV_OFFSET, key), nodeId);
    }

    private static long weight(long keyHash, String nodeId) {
        return mix(keyHash ^ mix(hash(FNV_OFFSET, nodeId)));
    }

    /** Maps a text to a number from 0 (inclusive) to 1 (exclusive), the same on every node. */
    public static double unitHash(String text) {
        return (weight("", text) >>> UNUSED_BITS) * DOUBLE_UNIT;
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

    /** A member with its weight, which is computed only once. Sorts in descending order of weight. */
    private record Weighted<T>(T member, String name, long weight) implements Comparable<Weighted<T>> {
        private static <T> Weighted<T> of(T member, String name, long keyHash) {
            return new Weighted<>(member, name, RendezvousHash.weight(keyHash, name));
        }

        @Override
        public int compareTo(Weighted<T> other) {
            int byWeight = Long.compare(other.weight, weight);
            return byWeight != 0 ? byWeight : name.compareTo(other.name);
        }
    }
}
