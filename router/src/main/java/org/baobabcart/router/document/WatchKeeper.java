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
 * Holds the watch of one object while this router is among those of its data centre that have to. Confined to the control
 * thread.
 *
 * <p>Each round reads the object and then watches from the version that was read, so that no change between two watches
 * is missed. Failures are retried after a time that grows and is spread.
 */
final class WatchKeeper {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String BEGINNING = "0";
    private static final Duration PAUSE_BETWEEN_ROUNDS = Duration.ofMillis(50);

    private final String kind;
    private final String objectName;
    private final DocumentDependencies parts;
    private final Consumer<StoredObject> found;
    private final Runnable missing;
    private Optional<Cancellable> open = Optional.empty();
    private Optional<TimerService.Subscription> retry = Optional.empty();
    private long round;
    private int failures;
    private boolean onDuty;
    private boolean stopped;

    private WatchKeeper(
            String kind,
            String objectName,
            DocumentDependencies parts,
            Consumer<StoredObject> found,
            Runnable missing) {
        this.kind = kind;
        this.objectName = objectName;
        this.parts = parts;
        this.found = found;
        this.missing = missing;
    }

    static WatchKeeper create(
            String kind,
            String objectName,
            DocumentDependencies parts,
            Consumer<StoredObject> found,
            Runnable missing) {
        return new WatchKeeper(kind, objectName, parts, found, missing);
    }

    void start() {
        review(parts.blackboard().read(Sections.MEMBERS));
        parts.blackboard().subscribe(Sections.MEMBERS, this::review);
    }

    void stop() {
        stopped = true;
        endDuty();
    }

    private void review(Members members) {
        if (stopped) {
            return;
        }
        int count = parts.settings().watchersPerDataCentre();
        boolean chosen = DutyAssignment.isAssigned("watch/" + kind, members, count);
        if (chosen && !onDuty) {
            onDuty = true;
            beginRound();
        } else if (!chosen && onDuty) {
            endDuty();
        }
    }

    private void endDuty() {
        onDuty = false;
        round++;
        open.ifPresent(Cancellable::cancel);
        open = Optional.empty();
        retry.ifPresent(TimerService.Subscription::cancel);
        retry = Optional.empty();
    }

    private void beginRound() {
        long current = ++round;
        parts.store()
                .read(kind, objectName)
                .emitOn(parts.loop())
                .subscribe()
                .with(
                        object -> inRound(current, () -> watchAfter(object)),
                        failure -> inRound(current, () -> readFailed(failure)));
    }

    private void inRound(long expected, Runnable step) {
        if (round == expected && onDuty) {
            step.run();
        }
    }

    private void watchAfter(StoredObject object) {
        found.accept(object);
        watchFrom(object.resourceVersion());
    }

    private void readFailed(Throwable failure) {
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND) {
            missing.run();
            watchFrom(BEGINNING);
        } else {
            roundFailed(failure);
        }
    }

    private void watchFrom(String resourceVersion) {
        long current = round;
        failures = 0;
        open = Optional.of(parts.store()
                .watch(kind, resourceVersion)
                .emitOn(parts.loop())
                .subscribe()
                .with(
                        event -> inRound(current, () -> changed(event)),
                        failure -> inRound(current, () -> roundFailed(failure)),
                        () -> inRound(current, this::roundEnded)));
    }

    private void changed(ObjectEvent event) {
        boolean written = event.type() == ObjectEvent.Type.ADDED || event.type() == ObjectEvent.Type.MODIFIED;
        if (written && event.object().name().equals(objectName)) {
            found.accept(event.object());
        }
    }

    private void roundEnded() {
        schedule(PAUSE_BETWEEN_ROUNDS);
    }

    private void roundFailed(Throwable failure) {
        failures++;
        LOGGER.atFine().withCause(failure).log("event=watch_failed kind=%s failures=%s", kind, failures);
        schedule(backoff());
    }

    private void schedule(Duration delay) {
        open = Optional.empty();
        round++;
        retry = Optional.of(parts.timers().after("watch-" + kind, delay, this::beginRound));
    }

    private Duration backoff() {
        long first = parts.settings().initialRetryDelay().toMillis();
        long longest = parts.settings().maxRetryDelay().toMillis();
        long bound = Math.min(longest, first << Math.min(failures - 1, Integer.SIZE));
        return Duration.ofMillis(bound / 2 + parts.random().nextLong(bound / 2 + 1));
    }
}
