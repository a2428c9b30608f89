package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;

/**
 * Detects upstreams that send nothing on any connection while attempts wait for them. Thread-safe.
 *
 * <p>A silent upstream is probed with a new connection. If that fails, all attempts there that can be replaced fail
 * immediately, long before their own deadlines. If it succeeds, they keep waiting, because a busy upstream may be
 * silent for a while.
 */
final class SilenceWatch {
    private final Duration limit;
    private final Function<VirtualMachine, Future<Boolean>> reachable;
    private final Map<String, Line> lines = new ConcurrentHashMap<>();

    private SilenceWatch(Duration limit, Function<VirtualMachine, Future<Boolean>> reachable) {
        this.limit = limit;
        this.reachable = reachable;
    }

    /**
     * Creates a detector, which acts only when {@link #check} is called.
     *
     * @param limit the time without activity after which an upstream is probed
     * @param reachable returns whether a new connection to an upstream can be opened
     */
    static SilenceWatch create(Duration limit, Function<VirtualMachine, Future<Boolean>> reachable) {
        return new SilenceWatch(limit, reachable);
    }

    /**
     * Registers an attempt that waits for progress.
     *
     * @param fail fails the attempt
     * @param replaceable whether the attempt should fail if the upstream cannot be reached; evaluated at that time
     */
    Entry opened(VirtualMachine upstream, Consumer<AttemptException> fail, BooleanSupplier replaceable) {
        Line line = lines.computeIfAbsent(upstream.name(), ignored -> new Line(upstream));
        return line.open(fail, replaceable);
    }

    /** Probes the upstreams that have been silent for longer than the limit. */
    void check(long nowNanos) {
        lines.values().removeIf(Line::isUnused);
        lines.values().stream()
                .filter(line -> line.isSilent(nowNanos, limit.toNanos()))
                .forEach(this::ask);
    }

    /** Fails the attempts at an upstream that has restarted and so lost them. */
    void restarted(String upstream) {
        Line line = lines.get(upstream);
        if (line != null) {
            line.failAll("the upstream has started anew");
        }
    }

    private void ask(Line line) {
        line.asked();
        reachable.apply(line.upstream).onComplete(answer -> {
            line.answered(System.nanoTime());
            if (answer.failed() || !answer.result()) {
                line.failAll("the upstream grants no connection");
            }
        });
    }

    /** The registered attempts at one upstream, and the time of its last activity. */
    private static final class Line {
        private final VirtualMachine upstream;
        private final Map<Entry, Consumer<AttemptException>> open = new HashMap<>();
        private long heardNanos;
        private boolean asking;

        private Line(VirtualMachine upstream) {
            this.upstream = upstream;
        }

        private synchronized Entry open(Consumer<AttemptException> fail, BooleanSupplier replaceable) {
            Entry entry = new Entry(this, replaceable);
            if (open.isEmpty()) {
                heardNanos = System.nanoTime();
            }
            open.put(entry, fail);
            return entry;
        }

        private synchronized void heard() {
            heardNanos = System.nanoTime();
        }

        private synchronized void closed(Entry entry) {
            open.remove(entry);
        }

        private synchronized void asked() {
            asking = true;
        }

        private synchronized void answered(long nowNanos) {
            asking = false;
            heardNanos = nowNanos;
        }

        private synchronized boolean isUnused() {
            return open.isEmpty() && !asking;
        }

        private synchronized boolean isSilent(long nowNanos, long limitNanos) {
            return !open.isEmpty() && !asking && nowNanos - heardNanos > limitNanos;
        }

        private void failAll(String reason) {
            AttemptException failure = AttemptException.of(FailureKind.BROKEN, upstream.name(), reason);
            openEntries().stream()
                    .filter(entry -> entry.getKey().replaceable.getAsBoolean())
                    .forEach(entry -> entry.getValue().accept(failure));
        }

        private synchronized List<Map.Entry<Entry, Consumer<AttemptException>>> openEntries() {
            return List.copyOf(open.entrySet());
        }
    }

    /** The registration of one attempt. Thread-safe. */
    static final class Entry {
        private final Line line;
        private final BooleanSupplier replaceable;

        private Entry(Line line, BooleanSupplier replaceable) {
            this.line = line;
            this.replaceable = replaceable;
        }

        /** Records activity of the upstream. */
        void heard() {
            line.heard();
        }

        /** Removes the attempt when it has ended. */
        void closed() {
            line.closed(this);
        }
    }
}
