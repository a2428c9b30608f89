package org.baobabcart.router.platform;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.outage.StoreContact;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.metrics.LabelledMetrics;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Keeps a local copy of all objects of a kind in the platform: reads a snapshot and then watches from its version.
 * After a failure of the watch, or if the platform no longer keeps the changes since that version, it reads another
 * snapshot. Confined to the control thread.
 *
 * <p>A failed watch is never resumed without a snapshot: the platform may have closed it because it discarded its
 * history, and a new watch from the old version could then wait for its whole duration before the platform reports
 * that.
 *
 * <p>An object that cannot be decoded affects no other one and does not remove its own last valid value. A fault of the listener is handled like a
 * failed call: everything is read and passed on again after a delay. A round that makes no progress, whatever the reason, is abandoned and
 * replaced by a new one.
 *
 * <p>While the platform is unreachable, the last known objects are kept. Objects that expired meanwhile are kept as {@link #unconfirmed} for a
 * grace period after the platform is reachable again, since their owners write them again. Failed calls alone are no such outage: what the next
 * answer lacks is gone.
 *
 * @param <T> the immutable type of the values that the listener receives
 */
public final class ObjectInformer<T> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final double NANOS_PER_SECOND = 1e9;
    /** Two intervals of a second: a registration that lapses after three intervals of silence was written one interval before the outage. */
    private static final Duration DEFAULT_SHORTEST_OUTAGE = Duration.ofSeconds(2);

    private final String kind;
    private final Dependencies dependencies;
    private final InformerSettings settings;
    private final Consumer<Map<String, T>> listener;
    private final DecodedObjects<T> objects;
    private final Map<String, Long> pendingRemovals = new HashMap<>();
    private Optional<Cancellable> currentWatch = Optional.empty();
    private String version = "";
    private long round;
    private long reconnectedNanos;
    private long expiredNanos;
    private int failures;
    private boolean outageReported;
    private volatile boolean synced;
    private volatile long lastResponseNanos;
    private long lastProgressNanos;
    private Optional<TimerService.Subscription> supervision = Optional.empty();
    private boolean stopped;

    /**
     * Dependencies of an informer. Immutable.
     *
     * @param store the platform
     * @param loop the executor of the control thread
     * @param timers the timer service
     * @param random the source of jitter for the retries of several routers
     * @param timeline the time line that records events
     * @param metrics the registry of the metric for the age of the objects
     * @param contact when the platform was out of reach, as all informers of the router find together
     */
    public record Dependencies(
            ObjectStore store,
            Executor loop,
            TimerService timers,
            RandomGenerator random,
            Timeline timeline,
            MetricRegistry metrics,
            StoreContact contact) {
        /** Creates dependencies of informers that share the default view of outages. */
        public Dependencies(
                ObjectStore store,
                Executor loop,
                TimerService timers,
                RandomGenerator random,
                Timeline timeline,
                MetricRegistry metrics) {
            this(
                    store,
                    loop,
                    timers,
                    random,
                    timeline,
                    metrics,
                    StoreContact.create(DEFAULT_SHORTEST_OUTAGE, timers.nanoTime()));
        }
    }

    private ObjectInformer(
            String kind,
            Dependencies dependencies,
            InformerSettings settings,
            ObjectDecoder<T> decoder,
            Consumer<Map<String, T>> listener) {
        this.kind = kind;
        this.dependencies = dependencies;
        this.settings = settings;
        this.listener = listener;
        this.objects = new DecodedObjects<>(kind, decoder, dependencies.timeline());
        this.lastResponseNanos = dependencies.timers().nanoTime();
        this.expiredNanos =
                dependencies.timers().nanoTime() - settings.maxRetryDelay().toNanos();
        this.reconnectedNanos =
                dependencies.timers().nanoTime() - settings.removalGrace().toNanos();
    }

    /**
     * Creates an informer that is not started yet.
     *
     * @param decoder converts each object
     * @param listener receives all values by name after the first snapshot and after each change
     */
    public static <T> ObjectInformer<T> create(
            String kind,
            Dependencies dependencies,
            InformerSettings settings,
            ObjectDecoder<T> decoder,
            Consumer<Map<String, T>> listener) {
        ObjectInformer<T> informer = new ObjectInformer<>(kind, dependencies, settings, decoder, listener);
        LabelledMetrics metrics = LabelledMetrics.create(dependencies.metrics());
        Map<String, String> labels = LabelledMetrics.labels("kind", kind);
        metrics.gauge("platform.age-seconds", labels, informer::ageSeconds);
        metrics.gauge("platform.ignored-objects", labels, informer.objects::ignored);
        return informer;
    }

    /** Starts with a snapshot. */
    public void start() {
        readSnapshot();
        supervision = Optional.of(dependencies
                .timers()
                .every("supervise-" + kind, settings.progressTimeout().dividedBy(2), this::checkProgress));
    }

    /** Ends the watch. */
    public void stop() {
        stopped = true;
        supervision.ifPresent(TimerService.Subscription::cancel);
        endRound();
    }

    /** Every call to the platform ends within a time limit, so a round without any event has lost its continuation. */
    private void checkProgress() {
        long silentNanos = dependencies.timers().nanoTime() - lastProgressNanos;
        if (!stopped && silentNanos >= settings.progressTimeout().toNanos()) {
            record(
                    EventType.DEPENDENCY_LOST,
                    "no progress for " + Duration.ofNanos(silentNanos).toMillis() + " ms");
            endRound();
            readSnapshot();
        }
    }

    /** Returns whether a snapshot was read and passed to the listener. May be called on any thread. */
    public boolean isSynced() {
        return synced;
    }

    /** Returns the names of the objects that the platform no longer lists and that are kept for the grace period. */
    public Set<String> unconfirmed() {
        return Set.copyOf(pendingRemovals.keySet());
    }

    private void readSnapshot() {
        long current = ++round;
        lastProgressNanos = dependencies.timers().nanoTime();
        dependencies
                .store()
                .snapshot(kind)
                .emitOn(dependencies.loop())
                .subscribe()
                .with(
                        snapshot -> ifCurrentRound(current, () -> applySnapshot(snapshot)),
                        failure -> ifCurrentRound(current, () -> onFailure(failure)));
    }

    private void applySnapshot(ObjectSnapshot snapshot) {
        long lastBefore = lastResponseNanos;
        onResponse();
        Set<String> missing = objects.names();
        int known = missing.size();
        snapshot.objects().forEach(object -> {
            missing.remove(object.name());
            objects.put(object);
        });
        pendingRemovals.keySet().retainAll(missing);
        boolean isOtherEra =
                synced && !ResourceVersion.parse(version).isSameEra(ResourceVersion.parse(snapshot.resourceVersion()));
        // What was written since the copy was taken is lost, and its owners write it again as after an outage.
        outageReported |= isOtherEra;
        if (failures > 0 || isOtherEra) {
            startGrace(lastBefore, missing.size() - pendingRemovals.size(), known);
        }
        missing.forEach(this::remove);
        version = snapshot.resourceVersion();
        publish();
        // Set after publishing, so that a caller that sees isSynced() also sees the published objects.
        synced = true;
        recovered();
        watch();
    }

    private void watch() {
        long current = ++round;
        currentWatch = Optional.of(dependencies
                .store()
                .watch(kind, version)
                .emitOn(dependencies.loop())
                .subscribe()
                .with(
                        event -> ifCurrentRound(current, () -> onEvent(event)),
                        failure -> ifCurrentRound(current, () -> onFailure(failure)),
                        () -> ifCurrentRound(current, this::watch)));
    }

    private void onEvent(ObjectEvent event) {
        onResponse();
        StoredObject object = event.object();
        switch (event.type()) {
            case BOOKMARK -> version = object.resourceVersion();
            case DELETED -> {
                remove(object.name());
                publish();
            }
            case ADDED, MODIFIED -> {
                objects.put(object);
                pendingRemovals.remove(object.name());
                publish();
            }
            default -> throw new IllegalStateException("unknown event " + event.type());
        }
        recovered();
    }

    /**
     * Starts the grace period after failures if objects may only have expired while the platform was out of reach: it was,
     * another router says so, or most objects are missing. The number of own failures says nothing about the platform.
     */
    private void startGrace(long lastResponseBefore, int newlyMissing, int known) {
        boolean outage = dependencies.contact().hasOutageEndedSince(lastResponseBefore);
        if (outage || outageReported) {
            reconnectedNanos = outage ? dependencies.contact().outageEndNanos() : lastResponseNanos;
            pendingRemovals.clear();
        } else if (2 * newlyMissing > known) {
            reconnectedNanos = lastResponseNanos;
        }
    }

    /** Removes an object, after the grace period if its owner may still write it again. Only an outage extends that period. */
    private void remove(String name) {
        if (pendingRemovals.containsKey(name)) {
            return;
        }
        long graceEnd = reconnectedNanos + settings.removalGrace().toNanos();
        long remaining = graceEnd - dependencies.timers().nanoTime();
        if (remaining <= 0) {
            objects.remove(name);
            return;
        }
        pendingRemovals.put(name, graceEnd);
        dependencies
                .timers()
                .after("lapse-" + kind, Duration.ofNanos(remaining), () -> removeAfterGrace(name, graceEnd));
    }

    private void removeAfterGrace(String name, long graceEnd) {
        if (pendingRemovals.remove(name, graceEnd)) {
            objects.remove(name);
            ifCurrentRound(round, this::publish);
        }
    }

    private void record(EventType type, String cause) {
        dependencies
                .timeline()
                .record(type, EventFields.of(EventField.NAME, kind).with(EventField.CAUSE, cause));
    }

    private double ageSeconds() {
        return ageNanos() / NANOS_PER_SECOND;
    }

    /**
     * Returns the time since the platform has last confirmed what is known of this kind, or since the creation. May be called on any thread.
     */
    public long ageNanos() {
        long sinceResponse = dependencies.timers().nanoTime() - lastResponseNanos;
        return Math.max(sinceResponse, dependencies.store().newsAgeNanos(kind).orElse(0));
    }

    private void onResponse() {
        lastResponseNanos = dependencies.timers().nanoTime();
        dependencies.contact().answered(lastResponseNanos);
        lastProgressNanos = lastResponseNanos;
    }

    private void recovered() {
        if (failures > 0) {
            record(EventType.DEPENDENCY_FOUND, "after " + failures + " failures");
        }
        failures = 0;
        outageReported = false;
    }

    private void onFailure(Throwable failure) {
        endRound();
        lastProgressNanos = dependencies.timers().nanoTime();
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.WATCH_EXPIRED) {
            record(EventType.WATCH_EXPIRED, failure.getMessage() + " after version " + version);
            readSnapshotAfterExpiry();
            return;
        }
        boolean isFirst = failures == 0;
        failures++;
        outageReported |= failure.getCause() instanceof ReportedOutageException;
        if (isFirst) {
            record(EventType.DEPENDENCY_LOST, String.valueOf(failure.getMessage()));
        }
        long current = round;
        dependencies.timers().after("follow-" + kind, backoff(), () -> ifCurrentRound(current, this::readSnapshot));
    }

    /** A list is read at once, unless the watch after the last one has expired as well. */
    private void readSnapshotAfterExpiry() {
        long now = dependencies.timers().nanoTime();
        boolean isRepeated = now - expiredNanos < settings.maxRetryDelay().toNanos();
        expiredNanos = now;
        if (!isRepeated) {
            readSnapshot();
            return;
        }
        long current = round;
        dependencies
                .timers()
                .after("follow-" + kind, settings.maxRetryDelay(), () -> ifCurrentRound(current, this::readSnapshot));
    }

    private void endRound() {
        round++;
        currentWatch.ifPresent(Cancellable::cancel);
        currentWatch = Optional.empty();
    }

    private void ifCurrentRound(long expected, Runnable step) {
        if (round != expected || stopped) {
            return;
        }
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError fault) {
            LOGGER.atSevere().withCause(fault).log("event=informer_step_failed kind=%s", kind);
            onFailure(fault);
        }
    }

    private void publish() {
        listener.accept(objects.values());
    }

    private Duration backoff() {
        long first = settings.initialRetryDelay().toMillis();
        long longest = settings.maxRetryDelay().toMillis();
        long bound = Math.min(longest, first << Math.min(failures - 1, Byte.SIZE));
        return Duration.ofMillis(bound / 2 + dependencies.random().nextLong(bound / 2 + 1));
    }
}
