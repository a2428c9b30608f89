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
 * Keeps all objects of a kind as the platform has them: a snapshot, then a watch from its version, then another snapshot where
 * the watch breaks or the platform no longer keeps the changes between. Confined to the control thread.
 *
 * <p>A watch that broke is not taken up again without a snapshot: the platform may have broken it since it drops its history,
 * and a new watch from the old version can then wait for its whole time before it is told so.
 *
 * <p>What was known stays known while the platform is out of reach. Objects that lapsed meanwhile are kept for a grace after
 * its return, since their owners write them again.
 */
public final class ObjectInformer {
    private static final double NANOS_PER_SECOND = 1e9;

    private final String kind;
    private final Dependencies parts;
    private final InformerSettings settings;
    private final Consumer<Map<String, StoredObject>> listener;
    private final Map<String, StoredObject> objects = new HashMap<>();
    private final Map<String, Long> lapsing = new HashMap<>();
    private Optional<Cancellable> open = Optional.empty();
    private String version = "";
    private long round;
    private long regainedNanos;
    private int failures;
    private volatile boolean known;
    private volatile long heardNanos;
    private boolean stopped;

    /**
     * What a informer works with. Immutable.
     *
     * @param store the platform
     * @param loop the control thread
     * @param timers time
     * @param random spreads the retries of several routers
     * @param timeline events
     * @param metrics the age of what is known
     */
    public record Dependencies(
            ObjectStore store,
            Executor loop,
            TimerService timers,
            RandomGenerator random,
            Timeline timeline,
            MetricRegistry metrics) {}

    private ObjectInformer(
            String kind, Dependencies parts, InformerSettings settings, Consumer<Map<String, StoredObject>> listener) {
        this.kind = kind;
        this.parts = parts;
        this.settings = settings;
        this.listener = listener;
        this.heardNanos = parts.timers().nanoTime();
        this.regainedNanos = parts.timers().nanoTime() - settings.removalGrace().toNanos();
    }

    /**
     * A informer that does nothing yet.
     *
     * @param listener gets all objects by name after each change, and once after the first snapshot
     */
    public static ObjectInformer create(
            String kind, Dependencies parts, InformerSettings settings, Consumer<Map<String, StoredObject>> listener) {
        ObjectInformer informer = new ObjectInformer(kind, parts, settings, listener);
        LabelledMetrics.create(parts.metrics())
                .gauge("platform.age-seconds", LabelledMetrics.labels("kind", kind), informer::ageSeconds);
        return informer;
    }

    /** Begins with a snapshot. */
    public void start() {
        readAll();
    }

    /** Ends the watch. */
    public void stop() {
        stopped = true;
        endRound();
    }

    /** Whether a snapshot was read and told to the listener. Any thread may call this. */
    public boolean isSynced() {
        return known;
    }

    private void readAll() {
        long current = ++round;
        parts.store()
                .snapshot(kind)
                .emitOn(parts.loop())
                .subscribe()
                .with(
                        snapshot -> inRound(current, () -> take(snapshot)),
                        failure -> inRound(current, () -> failed(failure)));
    }

    private void take(ObjectSnapshot snapshot) {
        regained();
        Map<String, StoredObject> before = Map.copyOf(objects);
        objects.clear();
        snapshot.objects().forEach(object -> objects.put(object.name(), object));
        lapsing.keySet().removeAll(objects.keySet());
        before.forEach((name, object) -> {
            if (!objects.containsKey(name)) {
                objects.put(name, object);
                remove(name);
            }
        });
        version = snapshot.resourceVersion();
        publish();
        // Only now, so that whoever asks finds what was read already published.
        known = true;
        watch();
    }

    private void watch() {
        long current = ++round;
        open = Optional.of(parts.store()
                .watch(kind, version)
                .emitOn(parts.loop())
                .subscribe()
                .with(
                        event -> inRound(current, () -> changed(event)),
                        failure -> inRound(current, () -> failed(failure)),
                        () -> inRound(current, this::watch)));
    }

    private void changed(ObjectEvent event) {
        regained();
        StoredObject object = event.object();
        switch (event.type()) {
            case BOOKMARK -> version = object.resourceVersion();
            case DELETED -> {
                remove(object.name());
                publish();
            }
            case ADDED, MODIFIED -> {
                objects.put(object.name(), object);
                lapsing.remove(object.name());
                publish();
            }
            default -> throw new IllegalStateException("unknown event " + event.type());
        }
    }

    /** Removes an object, later where its owner may still write it again. */
    private void remove(String name) {
        long graceEnd = regainedNanos + settings.removalGrace().toNanos();
        long wait = graceEnd - parts.timers().nanoTime();
        if (wait <= 0) {
            objects.remove(name);
            lapsing.remove(name);
            return;
        }
        lapsing.put(name, graceEnd);
        parts.timers().after("lapse-" + kind, Duration.ofNanos(wait), () -> lapse(name, graceEnd));
    }

    private void lapse(String name, long graceEnd) {
        if (lapsing.remove(name, graceEnd)) {
            objects.remove(name);
            publish();
        }
    }

    private void record(EventType type, String cause) {
        parts.timeline().record(type, EventFields.of(EventField.NAME, kind).with(EventField.CAUSE, cause));
    }

    private double ageSeconds() {
        return (parts.timers().nanoTime() - heardNanos) / NANOS_PER_SECOND;
    }

    private void regained() {
        heardNanos = parts.timers().nanoTime();
        if (failures > 0) {
            regainedNanos = parts.timers().nanoTime();
            record(EventType.DEPENDENCY_FOUND, "after " + failures + " failures");
        }
        failures = 0;
    }

    private void failed(Throwable failure) {
        endRound();
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.WATCH_EXPIRED) {
            record(EventType.WATCH_EXPIRED, "nothing is kept after version " + version);
            readAll();
            return;
        }
        failures++;
        if (failures == 1) {
            record(EventType.DEPENDENCY_LOST, String.valueOf(failure.getMessage()));
        }
        long current = round;
        parts.timers().after("follow-" + kind, backoff(), () -> inRound(current, this::readAll));
    }

    private void endRound() {
        round++;
        open.ifPresent(Cancellable::cancel);
        open = Optional.empty();
    }

    private void inRound(long expected, Runnable step) {
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
        return Duration.ofMillis(bound / 2 + parts.random().nextLong(bound / 2 + 1));
    }
}
