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
 * Queue of outcomes and releases that are not stored yet. Each entry is retried until it is stored. When the queue
 * exceeds its maximum size, the oldest entry is dropped, and its key stays claimed without an outcome. Thread-safe.
 */
final class SettleOutbox {
    private static final int MAXIMUM_ENTRIES = 20_000;

    private final Function<SettleRequest, CompletableFuture<Boolean>> sender;
    private final Consumer<SettleRequest> dropListener;
    private final long retryNanos;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** An outcome to be stored. */
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
            Function<SettleRequest, CompletableFuture<Boolean>> sender,
            Consumer<SettleRequest> dropListener,
            long retryNanos) {
        this.sender = sender;
        this.dropListener = dropListener;
        this.retryNanos = retryNanos;
    }

    /**
     * Stores an outcome; the future completes when it is stored. A later outcome of the same attempt replaces an
     * earlier one.
     */
    CompletableFuture<Void> put(SettleRequest request, long nowNanos) {
        Entry entry = new Entry(request);
        synchronized (this) {
            entries.put(request.getAttemptId(), entry);
            dropOldest();
            markSending(entry, nowNanos);
        }
        send(entry);
        return entry.stored;
    }

    /** Retries the entries whose last attempt is at least one retry period ago. */
    void tick(long nowNanos) {
        List<Entry> due = new ArrayList<>();
        synchronized (this) {
            entries.values().stream()
                    .filter(entry -> !entry.sending && nowNanos - entry.lastTryNanos >= retryNanos)
                    .forEach(due::add);
            due.forEach(entry -> markSending(entry, nowNanos));
        }
        due.forEach(this::send);
    }

    synchronized int size() {
        return entries.size();
    }

    private static void markSending(Entry entry, long nowNanos) {
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
        if (entries.size() > MAXIMUM_ENTRIES) {
            Entry oldest = entries.remove(entries.keySet().iterator().next());
            dropListener.accept(oldest.request);
        }
    }
}
