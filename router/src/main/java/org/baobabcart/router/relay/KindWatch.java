package org.baobabcart.router.relay;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.platform.ReportedOutageException;

/**
 * The watch of a kind of objects, by relays while their news are fresh and by the store itself otherwise. Confined to the control thread.
 *
 * <p>It ends without a failure where the way changes, and its reader then watches again from where it is. It fails where changes may have been missed, and
 * the reader then reads a list from the store.
 */
final class KindWatch {
    /** Keeps quiet kinds from waking the reader with every line of a relay. */
    private static final Duration BOOKMARK_INTERVAL = Duration.ofSeconds(1);

    private final String kind;
    private final ObjectStore store;
    private final Executor loop;
    private final LongSupplier clock;
    private final RelayTiming timing;
    private final RelayView relays;
    private final RelaySource source;
    private final FollowedChanges changes = new FollowedChanges();
    private Optional<MultiEmitter<? super ObjectEvent>> reader = Optional.empty();
    private Optional<Cancellable> direct = Optional.empty();
    private List<ObjectEvent> unfinished = new ArrayList<>();
    private boolean isPrompt;
    private long round;
    private int failures;
    private boolean isDistrustful;
    private volatile boolean isProven;
    private volatile long provenNanos;
    private long bookmarkNanos;

    KindWatch(
            String kind,
            ObjectStore store,
            Executor loop,
            LongSupplier clock,
            RelayTiming timing,
            RelayView relays,
            RelaySource source) {
        this.kind = kind;
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.timing = timing;
        this.relays = relays;
        this.source = source;
    }

    /** Notes a list that the reader receives. */
    void onSnapshot(ObjectSnapshot snapshot) {
        if (source.subscribers() > 0 && unfinished.isEmpty()) {
            bridge(snapshot);
        }
        changes.start(snapshot);
        prove(clock.getAsLong());
    }

    /**
     * Tells subscribers the changes between the end of a broken watch and the list that follows it, so that they need no lists of their own. After
     * an outage they read lists, since what is missing then may only have expired.
     */
    private void bridge(ObjectSnapshot snapshot) {
        List<ObjectEvent> events = changes.changesTo(kind, snapshot);
        long missing = events.stream()
                .filter(event -> event.type() == ObjectEvent.Type.DELETED)
                .count();
        boolean mayHaveExpired = failures > 1 || failures == 1 && 2 * missing > changes.objects();
        ResourceVersion version = ResourceVersion.parse(snapshot.resourceVersion());
        boolean isContinued = version.isKnown() && version.isSameEra(changes.position());
        if (!mayHaveExpired && isContinued && source.endsAt(kind, changes.position())) {
            source.onAnswer(kind, version, events, timing.longestPoll(kind));
            failures = 0;
        }
    }

    /** Notes that a list could not be read. */
    void onSnapshotFailure() {
        failures++;
        if (failures > 1) {
            source.end(kind);
        }
    }

    /** Begins to stream changes after a version to a reader, in place of any earlier one. */
    void open(String version, MultiEmitter<? super ObjectEvent> newReader) {
        long current = ++round;
        newReader.onTermination(() -> loop.execute(() -> endRound(current)));
        reader = Optional.of(newReader);
        bookmarkNanos = clock.getAsLong();
        changes.continueAt(ResourceVersion.parse(version));
        if (mayBeRelayed()) {
            source.end(kind);
            failures = 0;
            review();
        } else {
            watchStore(version, current);
        }
    }

    private void endRound(long expected) {
        if (round == expected) {
            leave();
        }
    }

    /** Ends the present way of watching; returns the reader, which is told by the caller. */
    private Optional<MultiEmitter<? super ObjectEvent>> leave() {
        round++;
        direct.ifPresent(Cancellable::cancel);
        direct = Optional.empty();
        Optional<MultiEmitter<? super ObjectEvent>> last = reader;
        reader = Optional.empty();
        return last;
    }

    private void complete() {
        leave().ifPresent(MultiEmitter::complete);
    }

    private void fail(Throwable failure) {
        leave().ifPresent(last -> last.fail(failure));
    }

    private void emit(ObjectEvent event) {
        reader.ifPresent(current -> current.emit(event));
    }

    private void watchStore(String version, long current) {
        source.begin(kind, changes.position(), failures);
        failures = 0;
        unfinished = new ArrayList<>();
        isPrompt = isPromptWanted();
        Multi<ObjectEvent> watch =
                isPrompt ? store.watch(kind, version, timing.pollInterval()) : store.watch(kind, version);
        direct = Optional.of(watch.emitOn(loop)
                .subscribe()
                .with(
                        event -> ifCurrent(current, () -> onStoreEvent(event)),
                        failure -> ifCurrent(current, () -> onStoreFailure(failure)),
                        () -> ifCurrent(current, this::complete)));
    }

    private boolean isPromptWanted() {
        return source.subscribers() > 0 && timing.isBounded(kind);
    }

    private void ifCurrent(long expected, Runnable step) {
        if (round == expected) {
            step.run();
        }
    }

    private void onStoreEvent(ObjectEvent event) {
        changes.observe(event);
        emit(event);
        if (event.type() != ObjectEvent.Type.BOOKMARK) {
            unfinished.add(event);
            return;
        }
        prove(clock.getAsLong());
        List<ObjectEvent> finished = unfinished;
        unfinished = new ArrayList<>();
        source.onAnswer(kind, ResourceVersion.of(event.object()), finished, timing.longestPoll(kind));
        boolean isOther = relays.followsDirectly() ? isPrompt != isPromptWanted() : mayBeRelayed();
        if (isOther) {
            complete();
        }
    }

    private void onStoreFailure(Throwable failure) {
        if (!isExpired(failure)) {
            failures++;
        }
        fail(failure);
    }

    private static boolean isExpired(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.WATCH_EXPIRED;
    }

    /** Takes what the relays have told since, and ends the watch if that no longer suffices. */
    void review() {
        if (reader.isEmpty() || direct.isPresent()) {
            return;
        }
        if (relays.followsDirectly()) {
            complete();
            return;
        }
        if (isOtherEra()) {
            fail(BaobabcartException.of(ResultCode.WATCH_EXPIRED, "the store is in another era"));
            return;
        }
        boolean hasChanges = takeAll();
        long now = clock.getAsLong();
        if (!isContinuable() || isStale(now)) {
            isDistrustful = true;
            fail(interruption());
        } else if (hasChanges || now - bookmarkNanos >= BOOKMARK_INTERVAL.toNanos()) {
            emitBookmark(now);
        }
    }

    private boolean isOtherEra() {
        OptionalLong era = store.era();
        return era.isPresent() && !era.equals(changes.position().era());
    }

    private boolean takeAll() {
        boolean hasChanges = false;
        for (RelayedNews news : relays.news()) {
            Optional<ChangeLog> log = news.log(kind, changes.position());
            if (log.isPresent()) {
                List<ObjectEvent> events = changes.take(log.get());
                events.forEach(this::emit);
                hasChanges |= !events.isEmpty();
                news.proofNanos(kind).ifPresent(this::prove);
            }
        }
        return hasChanges;
    }

    private void prove(long nanos) {
        if (!isProven || nanos - provenNanos > 0) {
            provenNanos = nanos;
            isProven = true;
        }
    }

    private boolean isStale(long now) {
        return now - provenNanos > timing.ageLimit(kind).toNanos();
    }

    /** Returns whether some relay will tell the next change; one that is behind still has to catch up. */
    private boolean isContinuable() {
        return relays.news().stream().anyMatch(news -> news.continues(kind, changes.position()));
    }

    /**
     * What the store has just told is proof enough to go on with a relay that will tell the next change, unless the relays have not held their promise
     * before.
     */
    private boolean mayBeRelayed() {
        if (relays.followsDirectly()) {
            return false;
        }
        if (hasFreshRelay()) {
            isDistrustful = false;
            return true;
        }
        return !isDistrustful && isContinuable() && !isStale(clock.getAsLong());
    }

    private boolean hasFreshRelay() {
        long now = clock.getAsLong();
        long limit = timing.ageLimit(kind).toNanos();
        return changes.position().isKnown()
                && relays.news().stream()
                        .filter(news -> news.log(kind, changes.position()).isPresent())
                        .anyMatch(news -> news.proofNanos(kind)
                                .filter(proof -> now - proof < limit)
                                .isPresent());
    }

    /** A relay tells how many of its calls had failed, since what the next list lacks may only have expired meanwhile. */
    private BaobabcartException interruption() {
        OptionalInt failuresOfRelay = relays.news().stream()
                .filter(news -> news.beginsAfter(kind, changes.position()))
                .mapToInt(news -> news.failures(kind))
                .max();
        if (failuresOfRelay.isEmpty()) {
            return BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE, "no fresh news from relays");
        }
        if (failuresOfRelay.getAsInt() == 0) {
            return BaobabcartException.of(ResultCode.WATCH_EXPIRED, "the relays keep no changes from here on");
        }
        BaobabcartException failure =
                BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE, "a relay has lost the platform for a while");
        return failuresOfRelay.getAsInt() == 1 ? failure : failure.withCause(new ReportedOutageException());
    }

    private void emitBookmark(long now) {
        bookmarkNanos = now;
        StoredObject object =
                new StoredObject(kind, "", changes.position().text(), JsonNodeFactory.instance.objectNode());
        emit(new ObjectEvent(ObjectEvent.Type.BOOKMARK, object));
    }

    /** Returns the time since the store itself has last confirmed what is known of the kind. May be called on any thread. */
    OptionalLong ageNanos() {
        return isProven ? OptionalLong.of(clock.getAsLong() - provenNanos) : OptionalLong.empty();
    }

    /** Returns whether relays tell the changes at present. */
    boolean isRelayed() {
        return reader.isPresent() && direct.isEmpty();
    }
}
