package org.baobabcart.router.fleet;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.platform.OwnedObjectWriter;

/**
 * Keeps this router's registration in the platform's store. Confined to the control thread.
 *
 * <p>It is written once after the start, and again if another process has removed or replaced it. Nothing waits for it: until it is written, the
 * others do not know of this router.
 */
final class FleetRegistration {
    /** All routers of a deployment may start at once. */
    private static final Duration START_SPREAD = Duration.ofMillis(500);

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(8);

    private final FleetEntry entry;
    private final ObjectInformer.Dependencies dependencies;
    private final OwnedObjectWriter writer;
    private Optional<TimerService.Subscription> scheduled = Optional.empty();
    private boolean confirmed;
    private boolean ended;
    private int failures;

    private FleetRegistration(String name, FleetEntry entry, ObjectInformer.Dependencies dependencies) {
        this.entry = entry;
        this.dependencies = dependencies;
        this.writer = OwnedObjectWriter.create(dependencies.store(), dependencies.loop(), FleetController.KIND, name);
    }

    static FleetRegistration create(String name, FleetEntry entry, ObjectInformer.Dependencies dependencies) {
        return new FleetRegistration(name, entry, dependencies);
    }

    void start() {
        schedule(Duration.ofNanos(dependencies.random().nextLong(START_SPREAD.toNanos())));
    }

    /** Compares the registration with what the store holds under this router's name. */
    void onStored(Optional<FleetEntry> stored) {
        if (stored.equals(Optional.of(entry))) {
            confirmed = true;
        } else if (confirmed) {
            // The list may also be older than the last write; the next write settles that by reading the object.
            confirmed = false;
            schedule(jittered(INITIAL_RETRY_DELAY));
        }
    }

    /** Removes the registration; completes also if that fails, since others then remove it. */
    Uni<Void> end() {
        ended = true;
        scheduled.ifPresent(TimerService.Subscription::cancel);
        return writer.remove().onFailure().recoverWithNull();
    }

    private void schedule(Duration delay) {
        if (!ended && scheduled.isEmpty()) {
            scheduled = Optional.of(dependencies.timers().after("fleet-registration", delay, this::write));
        }
    }

    private void write() {
        scheduled = Optional.empty();
        if (!ended && !writer.isPending()) {
            writer.write(entry.toJson(), new WriteListener());
        }
    }

    private void retry() {
        long bound =
                Math.min(MAX_RETRY_DELAY.toMillis(), INITIAL_RETRY_DELAY.toMillis() << Math.min(failures, Byte.SIZE));
        failures++;
        schedule(jittered(Duration.ofMillis(bound)));
    }

    private Duration jittered(Duration bound) {
        return Duration.ofNanos(bound.toNanos() / 2 + dependencies.random().nextLong(bound.toNanos() / 2 + 1));
    }

    private final class WriteListener implements OwnedObjectWriter.Listener {
        @Override
        public void written() {
            failures = 0;
        }

        /** The object that was read is that of an earlier process, or this one's after a lost response. */
        @Override
        public void conflicted() {
            if (failures == 0) {
                failures++;
                write();
            } else {
                retry();
            }
        }

        @Override
        public void failed() {
            retry();
        }
    }
}
