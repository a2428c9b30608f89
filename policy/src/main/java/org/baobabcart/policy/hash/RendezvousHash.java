package org.baobabcart.policy.hash;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Gives duties to nodes by highest random weight, so that the loss of a node moves only its own duties.
 *
 * <p>The method is that of Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
 * Thread-safe.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** A double keeps 53 of 64 bits. */
    private static final int UNUSED_BITS = 11;

    private static final double DOUBLE_UNIT = 0x1.0p-53;

    private RendezvousHash() {}

    /** The nodes of the greatest weights for a duty, at most as many as asked for, the greatest first. */
    public static List<String> top(String duty, Collection<String> nodeIds, int count) {
        return ranked(duty, nodeIds, Function.<String>identity()).stream()
                .limit(count)
                .toList();
    }

    /** All members by their weights for a duty, the greatest first. */
    public static <T> List<T> ranked(String duty, Collection<T> members, Function<T, String> name) {
        long dutyHash = hash(FNV_OFFSET, duty);
        return members.stream()
                .map(member -> Weighted.of(member, name.apply(member), dutyHash))
                .sorted()
                .map(Weighted::member)
                .toList();
    }

    /** The member of the greatest weight for a duty; empty where there is none. */
    public static <T> Optional<T> first(String duty, Collection<T> members, Function<T, String> name) {
        long dutyHash = hash(FNV_OFFSET, duty);
        return members.stream()
                .map(member -> Weighted.of(member, name.apply(member), dutyHash))
                .min(Comparator.naturalOrder())
                .map(Weighted::member);
    }

    /** The weight of a member for a duty, the same at every node; spread evenly over all numbers. */
    public static long weight(String duty, String nodeId) {
        return weight(hash(FNV_OFFSET, duty), nodeId);
    }

    private static long weight(long dutyHash, String nodeId) {
        return mix(dutyHash ^ mix(hash(FNV_OFFSET, nodeId)));
    }

    /** A text's point from 0 (inclusive) to 1 (exclusive), the same at every node. */
    public static double point(String text) {
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

    /**
     * A member with its weight, which is computed once however often it is compared. Sorts the greatest weight first.
     */
    private record Weighted<T>(T member, String name, long weight) implements Comparable<Weighted<T>> {
        private static <T> Weighted<T> of(T member, String name, long dutyHash) {
            return new Weighted<>(member, name, RendezvousHash.weight(dutyHash, name));
        }

        @Override
        public int compareTo(Weighted<T> other) {
            int byWeight = Long.compare(other.weight, weight);
            return byWeight != 0 ? byWeight : name.compareTo(other.name);
        }
    }
}
