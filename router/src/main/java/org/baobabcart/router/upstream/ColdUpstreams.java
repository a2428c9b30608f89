package org.baobabcart.router.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiFunction;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.warmup.StartBudget;
import org.baobabcart.policy.warmup.StartPace;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Upstreams that have just started, and what this router may send to them. Thread-safe.
 *
 * <p>Nothing is sent to a cold upstream unless this router is one of its owners. Upstreams are known by their name alone, so that an upstream that
 * ends while it is cold and comes back keeps what was counted.
 */
public final class ColdUpstreams {
    /** Longer times are cut, because a writer of a list entry may be in error. */
    private static final Duration MAX_REMAINING = Duration.ofMinutes(10);

    private final Timeline timeline;
    private final Map<String, Cold> cold = new ConcurrentHashMap<>();
    private final LongAdder heldBack = new LongAdder();
    private final LongAdder permitted = new LongAdder();
    private volatile Map<String, Terms> termsByService = Map.of();
    private volatile Owners owners = Owners.NONE;

    /**
     * What a service declares. Immutable.
     *
     * @param duration how long an upstream is cold if nothing tells the time
     * @param budget what its owners may send
     */
    public record Terms(Duration duration, StartBudget budget) {}

    /**
     * What this router knows of the routers. Immutable.
     *
     * @param self this router
     * @param members the known routers with this one
     * @param validUntilNanos when the knowledge is too old to send anything
     */
    private record Owners(StartBudget.Router self, List<StartBudget.Router> members, long validUntilNanos) {
        private static final Owners NONE = new Owners(new StartBudget.Router("", ""), List.of(), Long.MIN_VALUE);

        private boolean isValid(long nowNanos) {
            return !members.isEmpty() && validUntilNanos - nowNanos > 0;
        }
    }

    /** The state of one upstream. Guarded by the enclosing object. */
    private static final class Cold {
        private long untilNanos;
        private StartPace pace;
        private List<StartBudget.Router> rankedMembers = List.of();
        private boolean isOwned;

        private Cold(long untilNanos) {
            this.untilNanos = untilNanos;
        }

        private boolean isCold(long nowNanos) {
            return untilNanos - nowNanos > 0;
        }
    }

    private ColdUpstreams(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Creates an instance in which no service has cold upstreams. */
    public static ColdUpstreams create(Timeline timeline) {
        return new ColdUpstreams(timeline);
    }

    /** Replaces what services declare; upstreams of other services are never cold. */
    public synchronized void setTerms(Map<String, Terms> newTermsByService) {
        termsByService = Map.copyOf(newTermsByService);
        // The number of owners may have changed.
        cold.values().forEach(state -> state.rankedMembers = List.of());
    }

    /**
     * Lets this router send to the upstreams that it owns.
     *
     * @param members the known routers with this one
     * @param validUntilNanos when it may no longer send unless this method is called again
     */
    public void follow(StartBudget.Router self, List<StartBudget.Router> members, long validUntilNanos) {
        List<StartBudget.Router> before = owners.members();
        owners = new Owners(self, members.equals(before) ? before : List.copyOf(members), validUntilNanos);
    }

    /** Returns whether the upstreams of a service may be cold. */
    public boolean hasTerms(String service) {
        return termsByService.containsKey(service);
    }

    /** Records that an upstream is cold for a time that it has told; a longer time that is known already stays. */
    public void markCold(VirtualMachine upstream, Duration remaining, String reason, long nowNanos) {
        if (remaining.isNegative() || remaining.isZero()) {
            return;
        }
        Duration time = remaining.compareTo(MAX_REMAINING) < 0 ? remaining : MAX_REMAINING;
        if (extend(upstream.name(), nowNanos + time.toNanos(), nowNanos) && hasTerms(upstream.service())) {
            timeline.record(
                    EventType.UPSTREAM_CHANGED,
                    EventFields.of(EventField.UPSTREAM, upstream.name())
                            .with(EventField.CHANGE, "is cold for " + time.toMillis() + " ms: " + reason));
        }
    }

    /** Returns whether the upstream was not cold before. */
    private synchronized boolean extend(String name, long untilNanos, long nowNanos) {
        Cold state = cold.computeIfAbsent(name, ignored -> new Cold(nowNanos));
        boolean wasCold = state.isCold(nowNanos);
        state.untilNanos = state.untilNanos - untilNanos > 0 ? state.untilNanos : untilNanos;
        return !wasCold;
    }

    /** Records that an upstream may be cold, for the whole time that its service declares. */
    public void markPossiblyCold(VirtualMachine upstream, String reason, long nowNanos) {
        Terms terms = termsByService.get(upstream.service());
        if (terms != null) {
            markCold(upstream, terms.duration(), reason, nowNanos);
        }
    }

    /** Returns whether no upstream is cold, so that nothing else needs to be asked. */
    public boolean isEmpty() {
        return cold.isEmpty() || termsByService.isEmpty();
    }

    /** Returns whether the upstream is cold, as far as this router knows. */
    public boolean isCold(VirtualMachine upstream, long nowNanos) {
        return !isEmpty() && read(upstream, false, (state, terms) -> state.isCold(nowNanos));
    }

    /** Returns when this router may send the upstream a request; empty if it may now. */
    public OptionalLong availableFrom(VirtualMachine upstream, long nowNanos) {
        return isEmpty()
                ? OptionalLong.empty()
                : read(
                        upstream,
                        OptionalLong.empty(),
                        (state, terms) -> availableFrom(upstream, state, terms, nowNanos));
    }

    private OptionalLong availableFrom(VirtualMachine upstream, Cold state, Terms terms, long nowNanos) {
        if (!state.isCold(nowNanos)) {
            return OptionalLong.empty();
        }
        if (!isOwned(upstream, state, terms, nowNanos)) {
            return OptionalLong.of(state.untilNanos);
        }
        long next = pace(state, terms, nowNanos).nextNanos(nowNanos);
        if (next == Long.MAX_VALUE || next - state.untilNanos > 0) {
            return OptionalLong.of(state.untilNanos);
        }
        return next - nowNanos > 0 ? OptionalLong.of(next) : OptionalLong.empty();
    }

    /** Counts a request or health check that is about to be sent; returns whether it may be sent. */
    public boolean tryTake(VirtualMachine upstream, long nowNanos) {
        return isEmpty()
                || read(upstream, true, (state, terms) -> {
                    if (!state.isCold(nowNanos)) {
                        return true;
                    }
                    boolean isAllowed = isOwned(upstream, state, terms, nowNanos)
                            && pace(state, terms, nowNanos).tryTake(nowNanos);
                    (isAllowed ? permitted : heldBack).increment();
                    return isAllowed;
                });
    }

    /**
     * Counts a request at the time at which it is sent; returns whether it may be sent.
     *
     * @param grantedNanos when the slot was granted, right after {@link #tryTake}
     */
    public boolean confirm(VirtualMachine upstream, long grantedNanos, long nowNanos) {
        return isEmpty()
                || read(upstream, true, (state, terms) -> {
                    boolean isAllowed = !state.isCold(nowNanos)
                            || isOwned(upstream, state, terms, nowNanos)
                                    && pace(state, terms, nowNanos).confirm(grantedNanos, nowNanos);
                    if (!isAllowed) {
                        heldBack.increment();
                    }
                    return isAllowed;
                });
    }

    /** Returns the default for an upstream of which nothing is known. */
    private synchronized <T> T read(VirtualMachine upstream, T defaultValue, BiFunction<Cold, Terms, T> reader) {
        Cold state = cold.get(upstream.name());
        Terms terms = termsByService.get(upstream.service());
        return state == null || terms == null ? defaultValue : reader.apply(state, terms);
    }

    private boolean isOwned(VirtualMachine upstream, Cold state, Terms terms, long nowNanos) {
        Owners current = owners;
        if (!current.isValid(nowNanos)) {
            return false;
        }
        if (state.rankedMembers != current.members()) {
            state.rankedMembers = current.members();
            state.isOwned =
                    terms.budget().isOwner(upstream.name(), upstream.dataCentre(), current.self(), current.members());
        }
        return state.isOwned;
    }

    private static StartPace pace(Cold state, Terms terms, long nowNanos) {
        if (state.pace == null || !state.pace.budget().equals(terms.budget())) {
            state.pace = StartPace.create(terms.budget(), nowNanos);
        }
        return state.pace;
    }

    /** Forgets upstreams that have been warm for long enough that nothing sent to them counts. */
    public synchronized void removeWarm(long nowNanos) {
        cold.values().removeIf(state -> nowNanos - state.untilNanos > StartPace.WINDOW.toNanos());
    }

    /** Returns the number of upstreams that are cold, as far as this router knows. */
    public synchronized int count(long nowNanos) {
        return (int)
                cold.values().stream().filter(state -> state.isCold(nowNanos)).count();
    }

    /** Returns the number of permits for cold upstreams that were not given. */
    public long heldBack() {
        return heldBack.sum();
    }

    /** Returns the number of permits for cold upstreams that were given. */
    public long permitted() {
        return permitted.sum();
    }
}
