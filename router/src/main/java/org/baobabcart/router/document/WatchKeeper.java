package org.baobabcart.router.document;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.DutyAssignment;
import org.baobabcart.router.member.Members;

/**
 * Watches one object while this router is one of those assigned to watch it in its data centre. Confined to the control
 * thread.
 *
 * <p>Each round reads the object and then watches from the version that was read, so that no change between two watches
 * is missed. Failed rounds are retried with exponential backoff and jitter.
 */
final class WatchKeeper {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String INITIAL_VERSION = "0";
    private static final Duration DELAY_BETWEEN_ROUNDS = Duration.ofMillis(50);

    private final String kind;
    private final String objectName;
    private final DocumentDependencies dependencies;
    private final Consumer<StoredObject> onStored;
    private final Runnable onMissing;
    private Optional<Cancellable> watch = Optional.empty();
    private Optional<TimerService.Subscription> retry = Optional.empty();
    private long round;
    private int failures;
    private boolean assigned;
    private boolean stopped;

    private WatchKeeper(
            String kind,
            String objectName,
            DocumentDependencies dependencies,
            Consumer<StoredObject> onStored,
            Runnable onMissing) {
        this.kind = kind;
        this.objectName = objectName;
        this.dependencies = dependencies;
        this.onStored = onStored;
        this.onMissing = onMissing;
    }

    static WatchKeeper create(
            String kind,
            String objectName,
            DocumentDependencies dependencies,
            Consumer<StoredObject> onStored,
            Runnable onMissing) {
        return new WatchKeeper(kind, objectName, dependencies, onStored, onMissing);
    }

    void start() {
        onMembers(dependencies.blackboard().read(Sections.MEMBERS));
        dependencies.blackboard().subscribe(Sections.MEMBERS, this::onMembers);
    }

    void stop() {
        stopped = true;
        stopWatching();
    }

    private void onMembers(Members members) {
        if (stopped) {
            return;
        }
        int count = dependencies.settings().watchersPerDataCentre();
        boolean nowAssigned = DutyAssignment.isAssigned("watch/" + kind, members, count);
        if (nowAssigned && !assigned) {
            assigned = true;
            beginRound();
        } else if (!nowAssigned && assigned) {
            stopWatching();
        }
    }

    private void stopWatching() {
        assigned = false;
        round++;
        watch.ifPresent(Cancellable::cancel);
        watch = Optional.empty();
        retry.ifPresent(TimerService.Subscription::cancel);
        retry = Optional.empty();
    }

    private void beginRound() {
        long current = ++round;
        dependencies
                .store()
                .read(kind, objectName)
                .emitOn(dependencies.loop())
                .subscribe()
                .with(
                        object -> ifCurrentRound(current, () -> onRead(object)),
                        failure -> ifCurrentRound(current, () -> onReadFailed(failure)));
    }

    private void ifCurrentRound(long expected, Runnable step) {
        if (round == expected && assigned) {
            step.run();
        }
    }

    private void onRead(StoredObject object) {
        onStored.accept(object);
        watchFrom(object.resourceVersion());
    }

    private void onReadFailed(Throwable failure) {
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND) {
            onMissing.run();
            watchFrom(INITIAL_VERSION);
        } else {
            onRoundFailed(failure);
        }
    }

    private void watchFrom(String resourceVersion) {
        long current = round;
        failures = 0;
        watch = Optional.of(dependencies
                .store()
                .watch(kind, resourceVersion)
                .emitOn(dependencies.loop())
                .subscribe()
                .with(
                        event -> ifCurrentRound(current, () -> onEvent(event)),
                        failure -> ifCurrentRound(current, () -> onRoundFailed(failure)),
                        () -> ifCurrentRound(current, this::onWatchEnded)));
    }

    private void onEvent(ObjectEvent event) {
        boolean written = event.type() == ObjectEvent.Type.ADDED || event.type() == ObjectEvent.Type.MODIFIED;
        StoredObject object = event.object();
        if (!written || !object.name().equals(objectName)) {
            return;
        }
        if (object.fault().isPresent()) {
            LOGGER.atWarning().log(
                    "event=document_ignored kind=%s name=%s version=%s cause=%s",
                    kind, objectName, object.resourceVersion(), object.fault().get());
            return;
        }
        onStored.accept(object);
    }

    private void onWatchEnded() {
        schedule(DELAY_BETWEEN_ROUNDS);
    }

    private void onRoundFailed(Throwable failure) {
        failures++;
        LOGGER.atFine().withCause(failure).log("event=watch_failed kind=%s failures=%s", kind, failures);
        schedule(backoff());
    }

    private void schedule(Duration delay) {
        watch = Optional.empty();
        round++;
        retry = Optional.of(dependencies.timers().after("watch-" + kind, delay, this::beginRound));
    }

    private Duration backoff() {
        long first = dependencies.settings().initialRetryDelay().toMillis();
        long longest = dependencies.settings().maxRetryDelay().toMillis();
        long bound = Math.min(longest, first << Math.min(failures - 1, Integer.SIZE));
        return Duration.ofMillis(bound / 2 + dependencies.random().nextLong(bound / 2 + 1));
    }
}
