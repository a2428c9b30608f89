package org.baobabcart.router.platform;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
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
 * <p>While the platform is unreachable, the last known objects are kept. Objects that expired meanwhile are kept for a
 * grace period after the platform is reachable again, since their owners write them again.
 */
public final class ObjectInformer {
    private static final double NANOS_PER_SECOND = 1e9;

    private final String kind;
    private final Dependencies dependencies;
    private final InformerSettings settings;
    private final Consumer<Map<String, StoredObject>> listener;
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final Map<String, Long> pendingRemovals = new HashMap<>();
    private Optional<Cancellable> currentWatch = Optional.empty();
    private String version = "";
    private long round;
    private long reconnectedNanos;
    private int failures;
    private volatile boolean synced;
    private volatile long lastResponseNanos;
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
     */
    public record Dependencies(
            ObjectStore store,
            Executor loop,
            TimerService timers,
            RandomGenerator random,
            Timeline timeline,
            MetricRegistry metrics) {}

    private ObjectInformer(
            String kind,
            Dependencies dependencies,
            InformerSettings settings,
            Consumer<Map<String, StoredObject>> listener) {
        this.kind = kind;
        this.dependencies = dependencies;
        this.settings = settings;
        this.listener = listener;
        this.lastResponseNanos = dependencies.timers().nanoTime();
        this.reconnectedNanos =
                dependencies.timers().nanoTime() - settings.removalGrace().toNanos();
    }

    /**
     * Creates an informer that is not started yet.
     *
     * @param listener receives all objects by name after the first snapshot and after each change
     */
    public static ObjectInformer create(
            String kind,
            Dependencies dependencies,
            InformerSettings settings,
            Consumer<Map<String, StoredObject>> listener) {
        ObjectInformer informer = new ObjectInformer(kind, dependencies, settings, listener);
        LabelledMetrics.create(dependencies.metrics())
                .gauge("platform.age-seconds", LabelledMetrics.labels("kind", kind), informer::ageSeconds);
        return informer;
    }

    /** Starts with a snapshot. */
    public void start() {
        readSnapshot();
    }

    /** Ends the watch. */
    public void stop() {
        stopped = true;
        endRound();
    }

    /** Returns whether a snapshot was read and passed to the listener. May be called on any thread. */
    public boolean isSynced() {
        return synced;
    }

    private void readSnapshot() {
        long current = ++round;
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
        onResponse();
        Map<String, StoredObject> before = Map.copyOf(objects);
        objects.clear();
        snapshot.objects().forEach(object -> objects.put(object.name(), object));
        pendingRemovals.keySet().removeAll(objects.keySet());
        before.forEach((name, object) -> {
            if (!objects.containsKey(name)) {
                objects.put(name, object);
                remove(name);
            }
        });
        version = snapshot.resourceVersion();
        publish();
        // Set after publishing, so that a caller that sees isSynced() also sees the published objects.
        synced = true;
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
                objects.put(object.name(), object);
                pendingRemovals.remove(object.name());
                publish();
            }
            default -> throw new IllegalStateException("unknown event " + event.type());
        }
    }

    /** Removes an object, after the grace period if its owner may still write it again. */
    private void remove(String name) {
        long graceEnd = reconnectedNanos + settings.removalGrace().toNanos();
        long remaining = graceEnd - dependencies.timers().nanoTime();
        if (remaining <= 0) {
            objects.remove(name);
            pendingRemovals.remove(name);
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
            publish();
        }
    }

    private void record(EventType type, String cause) {
        dependencies
                .timeline()
                .record(type, EventFields.of(EventField.NAME, kind).with(EventField.CAUSE, cause));
    }

    private double ageSeconds() {
        return (dependencies.timers().nanoTime() - lastResponseNanos) / NANOS_PER_SECOND;
    }

    private void onResponse() {
        lastResponseNanos = dependencies.timers().nanoTime();
        if (failures > 0) {
            reconnectedNanos = dependencies.timers().nanoTime();
            record(EventType.DEPENDENCY_FOUND, "after " + failures + " failures");
        }
        failures = 0;
    }

    private void onFailure(Throwable failure) {
        endRound();
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.WATCH_EXPIRED) {
            record(EventType.WATCH_EXPIRED, "no history after version " + version);
            readSnapshot();
            return;
        }
        failures++;
        if (failures == 1) {
            record(EventType.DEPENDENCY_LOST, String.valueOf(failure.getMessage()));
        }
        long current = round;
        dependencies.timers().after("follow-" + kind, backoff(), () -> ifCurrentRound(current, this::readSnapshot));
    }

    private void endRound() {
        round++;
        currentWatch.ifPresent(Cancellable::cancel);
        currentWatch = Optional.empty();
    }

    private void ifCurrentRound(long expected, Runnable step) {
        if (round == expected && !stopped) {
            step.run();
        }
    }

    private void publish() {
        listener.accept(Map.copyOf(objects));
    }

    private Duration backoff() {
        long first = settings.initialRetryDelay().toMillis();
        long longest = settings.maxRetryDelay().toMillis();
        long bound = Math.min(longest, first << Math.min(failures - 1, Byte.SIZE));
        return Duration.ofMillis(bound / 2 + dependencies.random().nextLong(bound / 2 + 1));
    }
}
