package org.baobabcart.router.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectEvent;

/**
 * The last changes of a kind of objects without a gap, from a revision of the store at which it begins to one at which it ends. Bounded in batches and
 * bytes: the oldest batches are dropped, and it then begins later. Confined to the control thread.
 */
final class ChangeLog {
    private static final int MAX_BATCHES = 64;
    private static final int MAX_BYTES = 256 * 1024;

    private final Deque<ChangeBatch> batches = new ArrayDeque<>();
    private long begin;
    private long end;
    private int bytes;

    private ChangeLog(long at) {
        begin = at;
        end = at;
    }

    /** Creates a log that begins and ends at a revision. */
    static ChangeLog startingAt(long revision) {
        return new ChangeLog(revision);
    }

    long begin() {
        return begin;
    }

    long end() {
        return end;
    }

    /** Appends the changes from the end of the log to a revision. Returns the batch, unless the log already ends at or after that revision. */
    Optional<ChangeBatch> append(long to, List<ObjectEvent> events, int eventBytes) {
        if (to <= end) {
            return Optional.empty();
        }
        ChangeBatch batch = new ChangeBatch(end, to, events, eventBytes);
        end = to;
        if (!events.isEmpty()) {
            batches.add(batch);
            bytes += eventBytes;
            dropOldest();
        }
        return Optional.of(batch);
    }

    private void dropOldest() {
        while (batches.size() > MAX_BATCHES || bytes > MAX_BYTES) {
            ChangeBatch oldest = batches.remove();
            bytes -= oldest.bytes();
            begin = oldest.to();
        }
    }

    /** Returns whether the log holds every change after a revision up to its end. */
    boolean covers(long revision) {
        return begin <= revision && revision <= end;
    }

    /** Returns the batches that reach beyond a revision; the first may also hold earlier changes. */
    List<ChangeBatch> after(long revision) {
        return batches.stream().filter(batch -> batch.to() > revision).toList();
    }
}
