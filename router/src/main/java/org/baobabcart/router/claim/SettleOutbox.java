package org.baobabcart.router.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.baobabcart.wire.SettleRequest;

/**
 * Outcomes and releases that are not stored yet. They are tried again until they are, or until the bound on their number
 * pushes the oldest out, whose keys then stay claimed with no outcome. Thread-safe.
 */
final class SettleOutbox {
    private static final int LARGEST = 20_000;

    private final Function<SettleRequest, CompletableFuture<Boolean>> sender;
    private final Consumer<SettleRequest> lost;
    private final long retryNanos;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** An outcome that waits to be stored. */
    private static final class Entry {
        private final SettleRequest request;
        private final CompletableFuture<Void> stored = new CompletableFuture<>();
        private boolean sending;
        private long lastTryNanos;

        private Entry(SettleRequest request) {
            this.request = request;
        }
    }

    SettleOutbox(
            Function<SettleRequest, CompletableFuture<Boolean>> sender, Consumer<SettleRequest> lost, long retryNanos) {
        this.sender = sender;
        this.lost = lost;
        this.retryNanos = retryNanos;
    }

    /** Stores an outcome; completes when it is stored. A later outcome of the same attempt replaces an earlier one. */
    CompletableFuture<Void> put(SettleRequest request, long nowNanos) {
        Entry entry = new Entry(request);
        synchronized (this) {
            entries.put(request.getAttemptId(), entry);
            dropOldest();
            mark(entry, nowNanos);
        }
        send(entry);
        return entry.stored;
    }

    /** Tries again what has waited for a retry period. */
    void tick(long nowNanos) {
        List<Entry> due = new ArrayList<>();
        synchronized (this) {
            entries.values().stream()
                    .filter(entry -> !entry.sending && nowNanos - entry.lastTryNanos >= retryNanos)
                    .forEach(due::add);
            due.forEach(entry -> mark(entry, nowNanos));
        }
        due.forEach(this::send);
    }

    synchronized int size() {
        return entries.size();
    }

    private static void mark(Entry entry, long nowNanos) {
        entry.sending = true;
        entry.lastTryNanos = nowNanos;
    }

    private void send(Entry entry) {
        sender.apply(entry.request).whenComplete((stored, failure) -> {
            synchronized (this) {
                entry.sending = false;
                if (failure != null || !stored) {
                    return;
                }
                entries.remove(entry.request.getAttemptId(), entry);
            }
            entry.stored.complete(null);
        });
    }

    private void dropOldest() {
        if (entries.size() > LARGEST) {
            Entry oldest = entries.remove(entries.keySet().iterator().next());
            lost.accept(oldest.request);
        }
    }
}
