package org.baobabcart.router.upstream;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * Upstreams at whose address another one has answered. Thread-safe.
 *
 * <p>The list shows a restart later than the new upstream itself. Until the list has another entry, requests at the old one would only be rejected.
 */
final class ReplacedUpstreams {
    /**
     * How long an answer is believed while the list stays the same. Longer than the list usually lags; a wrong answer costs this router one upstream
     * for that time.
     */
    static final Duration VALIDITY = Duration.ofSeconds(10);

    private final Map<String, Replaced> replaced = new ConcurrentHashMap<>();

    private record Replaced(String address, long incarnation, long untilNanos) {
        private boolean isValid(VirtualMachine upstream, long nowNanos) {
            return incarnation == upstream.incarnation()
                    && address.equals(upstream.address())
                    && untilNanos - nowNanos > 0;
        }
    }

    private ReplacedUpstreams() {}

    static ReplacedUpstreams create() {
        return new ReplacedUpstreams();
    }

    /** Records that another upstream has answered; returns whether that was not known. */
    boolean add(VirtualMachine upstream, long nowNanos) {
        Replaced before = replaced.put(
                upstream.name(),
                new Replaced(upstream.address(), upstream.incarnation(), nowNanos + VALIDITY.toNanos()));
        return before == null || !before.isValid(upstream, nowNanos);
    }

    boolean contains(VirtualMachine upstream, long nowNanos) {
        Replaced known = replaced.get(upstream.name());
        return known != null && known.isValid(upstream, nowNanos);
    }

    boolean isEmpty() {
        return replaced.isEmpty();
    }

    /** Removes what the list no longer contains unchanged, and what is no longer believed. */
    void removeStale(Collection<VirtualMachine> listed, long nowNanos) {
        if (replaced.isEmpty()) {
            return;
        }
        Map<String, VirtualMachine> byName = listed.stream()
                .collect(Collectors.toMap(VirtualMachine::name, Function.identity(), (first, second) -> second));
        replaced.entrySet().removeIf(entry -> {
            VirtualMachine upstream = byName.get(entry.getKey());
            return upstream == null || !entry.getValue().isValid(upstream, nowNanos);
        });
    }
}
