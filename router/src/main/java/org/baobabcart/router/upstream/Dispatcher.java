package org.baobabcart.router.upstream;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Rank;
import org.baobabcart.policy.admission.AdmissionQueue;
import org.baobabcart.policy.admission.QueueEntry;
import org.baobabcart.policy.admission.Rejection;
import org.baobabcart.policy.admission.ServiceTimeEstimator;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.upstream.LoadReport;
import org.baobabcart.router.view.TrafficView;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * Assigns slots at upstreams to requests, and queues requests while no slot is free. Thread-safe.
 *
 * <p>A single lock guards the state of all pools. It is held for one decision at a time and never while a callback
 * runs.
 */
public final class Dispatcher {
    private static final Duration TICK = Duration.ofMillis(20);
    /** The usual time until replacements are listed for a pool whose upstreams are all leaving. */
    private static final Duration REPLACEMENT_DELAY = Duration.ofSeconds(2);
    /** Several times the interval at which routers learn of changes, and short against the deadlines of callers. */
    private static final Duration EVACUATED_RETRY_DELAY = Duration.ofSeconds(2);
    /** Spreads the retries of callers that got the same Retry-After over an additional quarter of that time. */
    private static final double RETRY_JITTER = 0.25;

    private final Vertx vertx;
    private final DispatcherSettings settings;
    private final TrafficViewSource views;
    private final UpstreamHealth health;
    private final UpstreamSelector selector;
    private final Random random = new Random();
    private final Map<Pool, AdmissionQueue<Waiter>> queues = new HashMap<>();
    private final Map<Pool, ServiceTimeEstimator> serviceTimes = new HashMap<>();
    private List<VirtualMachine> lastUpstreams = List.of();
    private boolean tickScheduled;

    private Dispatcher(
            Vertx vertx,
            DispatcherSettings settings,
            TrafficViewSource views,
            UpstreamHealth health,
            DepartureObserver departureObserver) {
        this.vertx = vertx;
        this.settings = settings;
        this.views = views;
        this.health = health;
        this.selector = UpstreamSelector.create(settings, health, departureObserver);
    }

    /** Creates a dispatcher with empty queues. */
    public static Dispatcher create(
            Vertx vertx, DispatcherSettings settings, TrafficViewSource views, UpstreamHealth health) {
        return create(vertx, settings, views, health, DepartureObserver.none());
    }

    /** Creates a dispatcher with empty queues that reports departures to other data centres. */
    public static Dispatcher create(
            Vertx vertx,
            DispatcherSettings settings,
            TrafficViewSource views,
            UpstreamHealth health,
            DepartureObserver departureObserver) {
        return new Dispatcher(vertx, settings, views, health, departureObserver);
    }

    /**
     * Acquires a slot; the result fails with a {@link BaobabcartException} if the request is refused.
     *
     * @param abandoned completes when the slot is no longer needed
     */
    public Future<Slot> acquire(SlotRequest request, Future<?> abandoned) {
        Waiter waiter = new Waiter(request, Promise.promise());
        run(() -> admit(waiter));
        if (waiter.promise.future().isComplete()) {
            return waiter.promise.future();
        }
        abandoned.onComplete(ignored -> run(() -> abandon(waiter)));
        Context context = vertx.getOrCreateContext();
        Promise<Slot> onCallersLoop = Promise.promise();
        waiter.promise.future().onComplete(result -> context.runOnContext(ignored -> onCallersLoop.handle(result)));
        return onCallersLoop.future();
    }

    /** Returns the number of requests queued over all pools. */
    public synchronized int waiting() {
        return queues.values().stream().mapToInt(AdmissionQueue::size).sum();
    }

    /** Returns the number of requests that run at upstreams in these data centres, listed or not. */
    public synchronized int running(Predicate<String> dataCentres) {
        return selector.running(dataCentres);
    }

    /** Returns the upstreams of a pool that may receive new requests; computed once per view. */
    public synchronized List<VirtualMachine> membersOf(TrafficView view, Pool pool) {
        return selector.members(view, pool);
    }

    /**
     * Returns whether the view still lists the upstream unchanged since a slot at it was granted, and the upstream has
     * not declined new requests since. A limit that it has advertised since is counted against, and so is a request that meets a cold upstream.
     */
    public synchronized boolean isEligible(TrafficView view, Slot slot) {
        VirtualMachine upstream = slot.upstream();
        return selector.isListed(view, upstream) && health.acceptsRequests(upstream) && health.tryUse(slot);
    }

    /**
     * Refuses queued requests that may still be waiting at the given time, because the process will have stopped by
     * then.
     */
    public void refuseWaitingBeyond(long nanoTime) {
        run(() -> {
            BaobabcartException stopping = BaobabcartException.of(ResultCode.STOPPING);
            return queues.values().stream()
                    .flatMap(queue -> queue.removeStartableAfter(nanoTime).stream())
                    .<Runnable>map(entry -> () -> entry.item().refuse(stopping))
                    .toList();
        });
    }

    private void tick() {
        run(this::sweep);
    }

    private void run(Decision decision) {
        List<Runnable> actions;
        boolean tickDue;
        synchronized (this) {
            actions = decision.decide();
            // The timer runs only while requests are queued.
            tickDue = !tickScheduled && queues.values().stream().anyMatch(queue -> queue.size() > 0);
            tickScheduled |= tickDue;
        }
        if (tickDue) {
            vertx.setTimer(TICK.toMillis(), ignored -> tick());
        }
        actions.forEach(Runnable::run);
    }

    private List<Runnable> admit(Waiter waiter) {
        Pool pool = waiter.request.pool();
        TrafficView view = views.current();
        if (view.upstreams() != lastUpstreams) {
            lastUpstreams = view.upstreams();
            removeUnlisted(view);
        }
        if (selector.members(view, pool).isEmpty()) {
            return List.of(() -> waiter.refuse(noneListed(view)));
        }
        OptionalLong availableFrom = availableFrom(view, pool);
        if (availableFrom.isPresent() && availableFrom.getAsLong() - waiter.request.targetNanos() > 0) {
            return List.of(() -> waiter.refuse(noneAvailable(availableFrom.getAsLong())));
        }
        selector.recordRequest(waiter.request);
        AdmissionQueue<Waiter> queue =
                queues.computeIfAbsent(pool, ignored -> AdmissionQueue.create(settings.queue(), random::nextDouble));
        if (queue.size() == 0) {
            Optional<Slot> slot = slotAt(waiter.request, selector.choose(view, waiter.request));
            if (slot.isPresent()) {
                return List.of(() -> waiter.grant(slot.get()));
            }
        }
        List<Runnable> actions = new ArrayList<>();
        queue.offer(entry(waiter), System.nanoTime()).forEach(rejection -> actions.add(refusalOf(rejection)));
        return actions;
    }

    /**
     * Returns when the first member accepts requests again, assuming replacements if all members are leaving; empty if
     * a member accepts requests now.
     */
    private OptionalLong availableFrom(TrafficView view, Pool pool) {
        List<VirtualMachine> members = selector.members(view, pool);
        if (!health.acceptingRequests(members).isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                health.earliestAvailability(members).orElse(System.nanoTime() + REPLACEMENT_DELAY.toNanos()));
    }

    /** Creates a refusal of a request whose pool has no upstream; nobody knows when evacuated ones are taken back. */
    private BaobabcartException noneListed(TrafficView view) {
        return view.evacuations().dataCentres().isEmpty()
                ? BaobabcartException.of(ResultCode.NO_UPSTREAM)
                : BaobabcartException.of(ResultCode.NO_UPSTREAM, "no upstream outside evacuated data centres")
                        .withRetryAfter(randomized(EVACUATED_RETRY_DELAY));
    }

    /**
     * Creates a refusal for the time until upstreams accept requests again. Retry-After is randomized so that callers
     * do not all retry at once.
     */
    private BaobabcartException noneAvailable(long availableFromNanos) {
        Duration remaining = Duration.ofNanos(Math.max(0, availableFromNanos - System.nanoTime()));
        return BaobabcartException.of(ResultCode.NO_UPSTREAM, "all upstreams decline requests for now")
                .withRetryAfter(randomized(remaining));
    }

    private Duration randomized(Duration minimum) {
        return Duration.ofNanos((long) (minimum.toNanos() * (1 + RETRY_JITTER * random.nextDouble())));
    }

    private QueueEntry<Waiter> entry(Waiter waiter) {
        SlotRequest request = waiter.request;
        long serviceNanos = serviceTimes
                .computeIfAbsent(request.pool(), ignored -> ServiceTimeEstimator.create())
                .expected(request.size())
                .toNanos();
        return new QueueEntry<>(
                request.rank(),
                request.workspace(),
                request.weight(),
                request.targetNanos(),
                Math.min(request.latestStartNanos(), request.deadlineNanos() - serviceNanos),
                waiter);
    }

    private List<Runnable> abandon(Waiter waiter) {
        AdmissionQueue<Waiter> queue = queues.get(waiter.request.pool());
        if (queue != null) {
            queue.remove(waiter);
        }
        BaobabcartException cancelled = BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE, "request abandoned");
        return List.of(() -> waiter.refuse(cancelled));
    }

    private List<Runnable> sweep() {
        tickScheduled = false;
        TrafficView view = views.current();
        List<Runnable> actions = new ArrayList<>();
        for (Map.Entry<Pool, AdmissionQueue<Waiter>> entry : queues.entrySet()) {
            AdmissionQueue<Waiter> queue = entry.getValue();
            if (queue.size() == 0) {
                continue;
            }
            if (selector.members(view, entry.getKey()).isEmpty()) {
                BaobabcartException noUpstream = noneListed(view);
                queue.clear()
                        .forEach(removed -> actions.add(() -> removed.item().refuse(noUpstream)));
                continue;
            }
            OptionalLong availableFrom = availableFrom(view, entry.getKey());
            if (availableFrom.isPresent()) {
                BaobabcartException noneAvailable = noneAvailable(availableFrom.getAsLong());
                queue.removeTargetedBefore(availableFrom.getAsLong())
                        .forEach(removed -> actions.add(() -> removed.item().refuse(noneAvailable)));
            }
            queue.expire(System.nanoTime()).forEach(rejection -> actions.add(refusalOf(rejection)));
            actions.addAll(dispatchQueued(view, entry.getKey(), queue));
        }
        return actions;
    }

    private List<Runnable> dispatchQueued(TrafficView view, Pool pool, AdmissionQueue<Waiter> queue) {
        List<Runnable> actions = new ArrayList<>();
        List<Double> floors = floors(view);
        while (queue.size() > 0 && selector.hasCapacity(view, pool)) {
            Optional<QueueEntry<Waiter>> next = queue.poll(floors, System.nanoTime());
            if (next.isEmpty()) {
                break;
            }
            Waiter waiter = next.get().item();
            Optional<VirtualMachine> chosen =
                    selector.choose(view, waiter.request).or(() -> selector.chooseAmongAll(view, waiter.request));
            Optional<Slot> slot = slotAt(waiter.request, chosen);
            BaobabcartException noUpstream = BaobabcartException.of(ResultCode.NO_UPSTREAM);
            actions.add(
                    slot.<Runnable>map(granted -> () -> waiter.grant(granted)).orElse(() -> waiter.refuse(noUpstream)));
        }
        return actions;
    }

    private Optional<Slot> slotAt(SlotRequest request, Optional<VirtualMachine> chosen) {
        return chosen.map(upstream -> new CountedSlot(upstream, request.pool(), request.size()));
    }

    private static List<Double> floors(TrafficView view) {
        return view.sheet()
                .map(published ->
                        published.sheet().ranks().stream().map(Rank::floor).toList())
                .orElse(List.of());
    }

    /** Removes empty queues and service times of pools without members, and upstreams that the view no longer lists. */
    private void removeUnlisted(TrafficView view) {
        queues.entrySet()
                .removeIf(entry -> entry.getValue().size() == 0
                        && selector.members(view, entry.getKey()).isEmpty());
        serviceTimes.keySet().removeIf(pool -> selector.members(view, pool).isEmpty());
        selector.removeUnlisted(view);
    }

    private static Runnable refusalOf(Rejection<Waiter> rejection) {
        BaobabcartException refusal = BaobabcartException.of(rejection.code()).withRetryAfter(rejection.retryAfter());
        return () -> rejection.entry().item().refuse(refusal);
    }

    private synchronized void recordResponse(
            CountedSlot slot, long latencyNanos, int status, Optional<LoadReport> report) {
        selector.recordResponse(slot.pool, slot.upstream, latencyNanos, status, report);
    }

    private synchronized void recordConnection(CountedSlot slot, long nanos) {
        selector.recordConnection(slot.pool, slot.upstream, nanos);
    }

    private synchronized void recordServiceTime(Pool pool, int size, long nanos) {
        serviceTimes
                .computeIfAbsent(pool, ignored -> ServiceTimeEstimator.create())
                .observe(size, nanos);
    }

    private List<Runnable> releaseSlot(CountedSlot slot, Optional<FailureKind> failure) {
        selector.release(slot.pool, slot.upstream, failure);
        AdmissionQueue<Waiter> queue = queues.get(slot.pool);
        return queue == null ? List.of() : dispatchQueued(views.current(), slot.pool, queue);
    }

    /** Decides under the lock; the returned actions run after the lock is released. */
    @FunctionalInterface
    private interface Decision {
        List<Runnable> decide();
    }

    /** A request that waits for a slot. */
    private record Waiter(SlotRequest request, Promise<Slot> promise) {
        private void grant(Slot slot) {
            if (!promise.tryComplete(slot)) {
                slot.release(Optional.empty());
            }
        }

        private void refuse(BaobabcartException refusal) {
            promise.tryFail(refusal);
        }

        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }

    /** A slot that counts towards the upstream's load until it is released. */
    private final class CountedSlot implements Slot {
        private final VirtualMachine upstream;
        private final Pool pool;
        private final int size;
        private final boolean rateLimited;
        private final OptionalLong coldGrantNanos;
        private final long grantedNanos = System.nanoTime();
        private final AtomicBoolean open = new AtomicBoolean(true);

        private CountedSlot(VirtualMachine upstream, Pool pool, int size) {
            this.upstream = upstream;
            this.pool = pool;
            this.size = size;
            this.rateLimited = health.isRateLimited(upstream);
            long now = System.nanoTime();
            this.coldGrantNanos = health.isCold(upstream, now) ? OptionalLong.of(now) : OptionalLong.empty();
        }

        @Override
        public boolean isRateLimited() {
            return rateLimited;
        }

        @Override
        public OptionalLong coldGrantNanos() {
            return coldGrantNanos;
        }

        @Override
        public VirtualMachine upstream() {
            return upstream;
        }

        @Override
        public void connected() {
            recordConnection(this, System.nanoTime() - grantedNanos);
        }

        @Override
        public void responseStarted(long latencyNanos, int status, Optional<String> load) {
            recordResponse(this, latencyNanos, status, load.flatMap(LoadReport::parse));
        }

        @Override
        public void responseCompleted(long nanos) {
            recordServiceTime(pool, size, nanos);
        }

        @Override
        public void release(Optional<FailureKind> failure) {
            if (open.compareAndSet(true, false)) {
                run(() -> releaseSlot(this, failure));
            }
        }
    }
}
