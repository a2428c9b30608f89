package org.baobabcart.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides memory among the heads of requests: a part for bytes that are not yet parsed, and a part for what the parser makes of them.
 *
 * <p>Answers many clients whose heads are large, consist of many lines or never end. Those that hold most go first when the bytes
 * are too many, and large heads leave a part of the memory for parsed heads to ordinary ones. Not thread-safe.
 *
 * @param <C> what holds bytes, told apart by identity
 */
public final class HeadBudget<C> {
    private static final long SMALL_HEAD_BYTES = 4 * 1024;
    private static final int SMALL_HEAD_LINES = 64;
    /** The parser's entry for a header, with its name and its value as objects of their own, and their copies for the upstream. */
    private static final long BYTES_PER_LINE = 256;
    /** The text is held by the parser's objects, by the request to the upstream and by the buffer that is sent. */
    private static final long COPIES = 3;

    private final long parsedLimit;
    private final long unparsedLimit;
    private final Map<C, Long> unparsed = new IdentityHashMap<>();
    private long parsedBytes;
    private long unparsedBytes;

    private HeadBudget(long parsedLimit, long unparsedLimit) {
        this.parsedLimit = parsedLimit;
        this.unparsedLimit = unparsedLimit;
    }

    /** Creates a budget of which nothing is used. */
    public static <C> HeadBudget<C> of(long parsedLimit, long unparsedLimit) {
        return new HeadBudget<>(parsedLimit, unparsedLimit);
    }

    /**
     * A head that has arrived completely.
     *
     * @param bytes its size as it was received
     * @param lines the number of its lines
     */
    public record Head(int bytes, int lines) {
        /** Returns the memory that it takes once it is parsed. */
        public long parsedBytes() {
            return COPIES * bytes + BYTES_PER_LINE * lines;
        }

        private boolean isSmall() {
            return bytes <= SMALL_HEAD_BYTES && lines <= SMALL_HEAD_LINES;
        }
    }

    /** Takes the memory for a parsed head; returns false, and takes nothing, if it does not fit. One head alone always fits. */
    public boolean tryParse(Head head) {
        long limit = head.isSmall() ? parsedLimit : parsedLimit / 4 * 3;
        if (parsedBytes > 0 && parsedBytes + head.parsedBytes() > limit) {
            return false;
        }
        parsedBytes += head.parsedBytes();
        return true;
    }

    /**
     * Takes the memory for trailers, which follow a head that has its memory already; returns false, and takes nothing, if it does not
     * fit. Trailers of any size leave to ordinary heads what large heads leave to them.
     */
    public boolean tryAddTrailers(Head trailers) {
        if (parsedBytes + trailers.parsedBytes() > parsedLimit / 4 * 3) {
            return false;
        }
        parsedBytes += trailers.parsedBytes();
        return true;
    }

    /** Gives back the memory for a parsed head. */
    public void release(Head head) {
        parsedBytes -= head.parsedBytes();
    }

    /**
     * Sets the number of unparsed bytes that a connection holds. Returns the connections to close if they are too many now: those that
     * hold most, until a quarter is free. They no longer count.
     */
    public List<C> hold(C connection, long bytes) {
        Long before = bytes == 0 ? unparsed.remove(connection) : unparsed.put(connection, bytes);
        unparsedBytes += bytes - (before == null ? 0 : before);
        return unparsedBytes > unparsedLimit ? takeLargest() : List.of();
    }

    private List<C> takeLargest() {
        List<Map.Entry<C, Long>> largestFirst = new ArrayList<>();
        unparsed.forEach((connection, bytes) -> largestFirst.add(Map.entry(connection, bytes)));
        largestFirst.sort(Comparator.comparing(Map.Entry::getValue, Comparator.reverseOrder()));
        List<C> taken = new ArrayList<>();
        for (Map.Entry<C, Long> entry : largestFirst) {
            if (unparsedBytes <= unparsedLimit / 4 * 3) {
                break;
            }
            unparsed.remove(entry.getKey());
            unparsedBytes -= entry.getValue();
            taken.add(entry.getKey());
        }
        return taken;
    }

    /** Returns the memory taken by parsed heads. */
    public long parsedBytes() {
        return parsedBytes;
    }

    /** Returns the number of bytes that are not yet parsed. */
    public long unparsedBytes() {
        return unparsedBytes;
    }
}
