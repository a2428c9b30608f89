package org.baobabcart.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Divides a number of bytes among messages before they are read, so that many large ones at once cannot exhaust the
 * memory. What does not fit waits, the most urgent rank first.
 *
 * <p>A part of the budget is kept for small messages, so that these pass while large ones take all the rest. One
 * workspace gets at most half of the budget for large messages, unless it has none yet. Not thread-safe.
 */
public final class ByteBudget {
    /** A message is small if this many of its size fit into the budget. */
    private static final long SMALL_PER_BUDGET = 256;
    /** A waiting message holds a connection and its head only. */
    private static final int MAX_WAITING = 1_024;

    private final long limitBytes;
    private final Map<String, Long> largeBytesByWorkspace = new HashMap<>();
    private final List<Entry> waiting = new ArrayList<>();
    /** Messages that were granted and are not complete. */
    private final Set<Entry> arriving = new HashSet<>();

    private long usedBytes;
    private long largeBytes;

    /** What became of a request for bytes. */
    public enum Decision {
        GRANTED,
        WAITING,
        REFUSED
    }

    /**
     * A message that needs memory. Entries are told apart by identity.
     *
     * <p>Not a record: the size of an entry can grow.
     */
    public static final class Entry {
        private final int rank;
        private final String workspace;
        private final boolean sizeKnown;
        private long bytes;
        private long progressNanos;

        private Entry(int rank, String workspace, long bytes, boolean sizeKnown) {
            this.rank = rank;
            this.workspace = workspace;
            this.bytes = bytes;
            this.sizeKnown = sizeKnown;
        }

        /** Creates an entry; rank 0 is the most urgent. */
        public static Entry of(int rank, String workspace, long bytes) {
            return new Entry(rank, workspace, bytes, true);
        }

        /** Creates an entry that begins with these bytes and may grow. It counts as large, since many of them could take all that is kept for small ones. */
        public static Entry ofUnknownSize(int rank, String workspace, long bytes) {
            return new Entry(rank, workspace, bytes, false);
        }

        /** Returns the size in bytes. */
        public long bytes() {
            return bytes;
        }
    }

    private ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a budget of which nothing is used. */
    public static ByteBudget of(long limitBytes) {
        return new ByteBudget(limitBytes);
    }

    /** Returns the bytes in use. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the number of waiting entries. */
    public int waiting() {
        return waiting.size();
    }

    /** Grants the bytes of an entry, lets it wait, or refuses it if it can never fit or too many wait already. */
    public Decision offer(Entry entry) {
        if (fits(entry) && isFirst(entry)) {
            take(entry);
            return Decision.GRANTED;
        }
        if (entry.bytes > maxLargeBytes() || waiting.size() >= MAX_WAITING) {
            return Decision.REFUSED;
        }
        waiting.add(positionOf(entry), entry);
        return Decision.WAITING;
    }

    /** Returns whether no entry that goes before this one is waiting; a small entry passes all large ones. */
    private boolean isFirst(Entry entry) {
        return isSmall(entry)
                || waiting.stream()
                        .noneMatch(other -> other.rank <= entry.rank && !isSmall(other) && mayTakeMore(other));
    }

    /** Grants more bytes to an entry that has been granted; returns false, and changes nothing, if they do not fit. */
    public boolean tryGrow(Entry entry, long newBytes) {
        giveBack(entry);
        long oldBytes = entry.bytes;
        entry.bytes = newBytes;
        boolean grown = fits(entry);
        entry.bytes = grown ? newBytes : oldBytes;
        take(entry);
        return grown;
    }

    /** Notes that a part of a granted message has arrived. */
    public void progressed(Entry entry, long nowNanos) {
        entry.progressNanos = nowNanos;
        arriving.add(entry);
    }

    /** Notes that a granted message is complete or that no more of it is read. */
    public void received(Entry entry) {
        arriving.remove(entry);
    }

    /**
     * Returns large messages to turn away because a waiting one needs their bytes: those that have made no progress for a time, the largest
     * first, and no more than are needed. They are not returned again; their bytes count until they are released.
     *
     * <p>Answers many large bodies that stop short of their end and would keep the memory until their time is over.
     */
    public List<Entry> takeStalled(Entry needy, long nowNanos, long stallNanos) {
        boolean shareIsFree = mayTakeMore(needy);
        List<Entry> stalled = arriving.stream()
                .filter(entry -> !isSmall(entry) && nowNanos - entry.progressNanos >= stallNanos)
                .filter(entry -> shareIsFree || entry.workspace.equals(needy.workspace))
                .sorted(Comparator.comparingLong(Entry::bytes).reversed())
                .toList();
        List<Entry> taken = new ArrayList<>();
        long freed = 0;
        for (Entry entry : stalled) {
            if (freed >= needy.bytes) {
                break;
            }
            freed += entry.bytes;
            taken.add(entry);
        }
        taken.forEach(arriving::remove);
        return taken;
    }

    /** Takes back the bytes of an entry that was granted; returns the waiting entries that are granted now. */
    public List<Entry> release(Entry entry) {
        arriving.remove(entry);
        giveBack(entry);
        List<Entry> granted = new ArrayList<>();
        Iterator<Entry> entries = waiting.iterator();
        while (entries.hasNext()) {
            Entry next = entries.next();
            if (fits(next)) {
                entries.remove();
                take(next);
                granted.add(next);
            } else if (!isSmall(next) && mayTakeMore(next)) {
                // Smaller entries behind this one must not keep it waiting for ever.
                break;
            }
        }
        return granted;
    }

    /** Removes a waiting entry; returns false if it does not wait. */
    public boolean withdraw(Entry entry) {
        return waiting.removeIf(other -> other == entry);
    }

    private int positionOf(Entry entry) {
        int position = waiting.size();
        while (position > 0 && waiting.get(position - 1).rank > entry.rank) {
            position--;
        }
        return position;
    }

    private boolean fits(Entry entry) {
        if (usedBytes + entry.bytes > limitBytes) {
            return false;
        }
        return isSmall(entry) || largeBytes + entry.bytes <= maxLargeBytes() && mayTakeMore(entry);
    }

    /** Returns whether the workspace of a large entry is below its share. */
    private boolean mayTakeMore(Entry entry) {
        long taken = largeBytesByWorkspace.getOrDefault(entry.workspace, 0L);
        return taken == 0 || taken + entry.bytes <= limitBytes / 2;
    }

    private boolean isSmall(Entry entry) {
        return entry.sizeKnown && entry.bytes <= limitBytes / SMALL_PER_BUDGET;
    }

    /** A quarter of the budget is left to small entries. */
    private long maxLargeBytes() {
        return limitBytes / 4 * 3;
    }

    private void take(Entry entry) {
        usedBytes += entry.bytes;
        if (!isSmall(entry)) {
            largeBytes += entry.bytes;
            largeBytesByWorkspace.merge(entry.workspace, entry.bytes, Long::sum);
        }
    }

    private void giveBack(Entry entry) {
        usedBytes -= entry.bytes;
        if (!isSmall(entry)) {
            largeBytes -= entry.bytes;
            largeBytesByWorkspace.computeIfPresent(
                    entry.workspace, (ignored, taken) -> taken == entry.bytes ? null : taken - entry.bytes);
        }
    }
}
