package org.baobabcart.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.policy.outage.StoreContact;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.timeline.EventType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ObjectInformerTest {
    private static final String KIND = "upstreams";
    private static final Duration GRACE = Duration.ofSeconds(2);
    private static final long SEED = 5401;
    private static final int OBJECTS = 12;
    private static final int STEPS = 100;
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
    private static final String INVALID = "invalid";

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final StoreContact contact = StoreContact.create(GRACE, timers.nanoTime());
    private Map<String, StoredObject> received = Map.of();
    private boolean syncedBeforeReceived;
    private final List<EventType> events = new ArrayList<>();
    private boolean isListenerFaulty;
    private final ObjectInformer<StoredObject> informer = ObjectInformer.create(
            KIND,
            new ObjectInformer.Dependencies(
                    store,
                    Runnable::run,
                    timers,
                    new Random(SEED),
                    (type, request, fields) -> events.add(type),
                    new MetricRegistry(),
                    contact),
            InformerSettings.defaults().withRemovalGrace(GRACE),
            this::decode,
            this::onObjects);

    @Test
    void appliesTheSnapshotAndLaterChanges() {
        create("a");
        informer.start();
        create("b");
        assertThat(names(), containsInAnyOrder("a", "b"));
        assertThat(informer.isSynced(), is(true));
    }

    @Test
    void removalTakesEffectImmediatelyWhileThePlatformIsReachable() {
        create("a");
        informer.start();
        remove("a");
        assertThat(names(), empty());
    }

    @Test
    void objectsAreKeptDuringAnOutage() {
        create("a");
        informer.start();
        store.setOutage(true);
        timers.advance(Duration.ofMinutes(1));
        assertThat(names(), containsInAnyOrder("a"));
    }

    @Test
    void objectThatExpiredDuringAnOutageIsRemovedAfterTheGracePeriod() {
        create("a");
        create("b");
        informer.start();
        store.setOutage(true);
        timers.advance(Duration.ofSeconds(5));
        store.removeSilently(KIND, "a");
        store.setOutage(false);
        timers.advance(Duration.ofSeconds(1));
        store.expireWatches();
        assertThat(names(), containsInAnyOrder("a", "b"));
        timers.advance(GRACE);
        assertThat(names(), containsInAnyOrder("b"));
    }

    @Test
    void objectWrittenAgainWithinTheGracePeriodStays() {
        create("a");
        informer.start();
        store.setOutage(true);
        timers.advance(Duration.ofSeconds(5));
        store.removeSilently(KIND, "a");
        store.setOutage(false);
        timers.advance(Duration.ofSeconds(1));
        store.expireWatches();
        create("a");
        timers.advance(GRACE.multipliedBy(2));
        assertThat(names(), containsInAnyOrder("a"));
    }

    /** An upstream that had left got work for longer than its drain time because one connection to the store had failed. */
    @Test
    void removedObjectIsNotKeptBecauseOneConnectionFailed() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        store.breakWatches();
        store.removeSilently(KIND, "a");
        timers.advance(Duration.ofMillis(500));
        assertThat(names(), containsInAnyOrder("b", "c"));
    }

    @Test
    void removedObjectIsNotKeptByWatchesThatBreakAgainAndAgain() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        for (int round = 0; round < 5; round++) {
            timers.advance(Duration.ofMillis(1_200));
            store.breakWatches();
            if (round == 1) {
                store.removeSilently(KIND, "a");
            }
        }
        assertThat(names(), containsInAnyOrder("b", "c"));
    }

    /** Several failures in a row say nothing about the platform if no registration can have lapsed meanwhile. */
    @Test
    void removedObjectIsNotKeptAfterFailuresThatAreTooShortForALapse() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        store.setOutage(true);
        timers.advance(Duration.ofMillis(1_200));
        store.removeSilently(KIND, "a");
        store.setOutage(false);
        timers.advance(MAX_BACKOFF);
        store.expireWatches();
        assertThat(names(), containsInAnyOrder("b", "c"));
    }

    /** Calls of one kind fail while others are answered, as after connections that go silent again and again. */
    @Test
    void removedObjectIsNotKeptIfThePlatformHasAnsweredOthers() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        store.setOutage(true);
        store.removeSilently(KIND, "a");
        for (int answer = 0; answer < 10; answer++) {
            timers.advance(Duration.ofMillis(500));
            contact.answered(timers.nanoTime());
        }
        store.setOutage(false);
        timers.advance(MAX_BACKOFF);
        store.expireWatches();
        assertThat(names(), containsInAnyOrder("b", "c"));
    }

    @Test
    void graceIsNotExtendedByWatchesThatBreakWhileMostObjectsAreMissing() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        store.breakWatches();
        store.removeSilently(KIND, "a");
        store.removeSilently(KIND, "b");
        for (int round = 0; round < 6; round++) {
            timers.advance(Duration.ofMillis(500));
            store.breakWatches();
        }
        assertThat(names(), containsInAnyOrder("c"));
    }

    @Test
    void objectsThatAreKeptAreUnconfirmed() {
        List.of("a", "b").forEach(this::create);
        informer.start();
        store.setOutage(true);
        timers.advance(Duration.ofSeconds(5));
        store.removeSilently(KIND, "a");
        store.setOutage(false);
        timers.advance(MAX_BACKOFF);
        store.expireWatches();
        assertThat(names(), containsInAnyOrder("a", "b"));
        assertThat(informer.unconfirmed(), containsInAnyOrder("a"));
        create("a");
        assertThat(informer.unconfirmed(), empty());
    }

    @Test
    void graceIsNotExtendedByWatchesThatBreakAfterAnOutage() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        store.setOutage(true);
        timers.advance(Duration.ofSeconds(5));
        store.removeSilently(KIND, "a");
        store.setOutage(false);
        timers.advance(Duration.ofSeconds(1));
        for (int round = 0; round < 5; round++) {
            store.breakWatches();
            timers.advance(Duration.ofMillis(500));
        }
        assertThat(names(), containsInAnyOrder("b", "c"));
    }

    /** Watches that break, calls that are refused and outages, at any moment and one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void removedObjectIsGoneSoonWhateverTheConnectionsDo(long seed) {
        Random random = new Random(seed);
        List<String> present = new ArrayList<>();
        for (int index = 0; index < OBJECTS; index++) {
            create("object-" + index);
            present.add("object-" + index);
        }
        informer.start();
        long quietNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            boolean disturbed = true;
            switch (random.nextInt(5)) {
                case 0 -> store.breakWatches();
                case 1 -> store.expireWatches();
                case 2 -> {
                    store.setOutage(true);
                    timers.advance(Duration.ofMillis(random.nextInt(3_000)));
                    store.setOutage(false);
                }
                case 3 -> {
                    if (present.size() > OBJECTS / 2) {
                        store.breakWatches();
                        store.removeSilently(KIND, present.remove(random.nextInt(present.size())));
                    }
                }
                default -> disturbed = false;
            }
            Duration pause = Duration.ofMillis(random.nextInt(1_500));
            timers.advance(pause);
            quietNanos = disturbed ? pause.toNanos() : quietNanos + pause.toNanos();
            assertThat("seed " + seed + ", step " + step, names().containsAll(present), is(true));
            if (quietNanos >= GRACE.plus(MAX_BACKOFF).toNanos()) {
                assertThat("seed " + seed + ", step " + step, names().size(), is(present.size()));
            }
        }
        timers.advance(GRACE.plus(MAX_BACKOFF));
        assertThat("seed " + seed, names().size(), is(present.size()));
    }

    @Test
    void objectsThatExpireTogetherAreKeptAfterASingleFailure() {
        List.of("a", "b", "c").forEach(this::create);
        informer.start();
        store.breakWatches();
        store.removeSilently(KIND, "a");
        store.removeSilently(KIND, "b");
        timers.advance(Duration.ofMillis(500));
        assertThat(names(), containsInAnyOrder("a", "b", "c"));
        create("a");
        timers.advance(GRACE);
        assertThat(names(), containsInAnyOrder("a", "c"));
    }

    @Test
    void expiredWatchIsReplacedByASnapshot() {
        create("a");
        informer.start();
        store.removeSilently(KIND, "a");
        create("c");
        assertThat(names(), containsInAnyOrder("c"));
    }

    /**
     * A store that discards its history can keep watches silent for a while and then break them; the next watches may
     * be silent too.
     */
    @Test
    void changesMissedBySilentWatchesAreReadAfterTheyBreak() {
        create("a");
        informer.start();
        store.setWatchesSilent(true);
        create("b");
        store.breakWatches();
        timers.advance(Duration.ofMillis(500));
        assertThat(names(), containsInAnyOrder("a", "b"));
    }

    @Test
    void snapshotIsRetriedWhenThePlatformIsUnreachableAtTheStart() {
        store.setOutage(true);
        informer.start();
        timers.advance(Duration.ofSeconds(3));
        assertThat(informer.isSynced(), is(false));
        store.setOutage(false);
        create("a");
        timers.advance(Duration.ofSeconds(1));
        assertThat(names(), containsInAnyOrder("a"));
    }

    /** A router that reports itself ready must already have published its upstreams. */
    @Test
    void isSyncedOnlyAfterTheListenerWasCalled() {
        create("a");
        informer.start();
        assertThat(syncedBeforeReceived, is(false));
        assertThat(informer.isSynced(), is(true));
    }

    @Test
    void objectThatCannotBeDecodedAffectsNoOtherAndIsRecordedOnce() {
        create("a");
        create(INVALID);
        informer.start();
        create("b");
        create("c");
        assertThat(names(), containsInAnyOrder("a", "b", "c"));
        assertThat(Collections.frequency(events, EventType.OBJECT_IGNORED), is(1));
    }

    @Test
    void lastValidVersionStaysInForceUntilTheObjectIsValidAgainOrRemoved() {
        create("a");
        informer.start();
        StoredObject valid = received.get("a");
        put("a", INVALID);
        assertThat(received.get("a"), is(valid));
        put("a", "valid");
        assertThat(received.get("a").spec().asText(), is("valid"));
        put("a", INVALID);
        remove("a");
        assertThat(names(), empty());
    }

    @Test
    void listenerFaultIsFollowedByANewSnapshot() {
        create("a");
        informer.start();
        isListenerFaulty = true;
        create("b");
        timers.advance(Duration.ofSeconds(5));
        isListenerFaulty = false;
        timers.advance(Duration.ofSeconds(1));
        assertThat(names(), containsInAnyOrder("a", "b"));
        create("c");
        assertThat(names(), containsInAnyOrder("a", "b", "c"));
    }

    /** A fault of the listener repeats with each snapshot, so the reads are spaced like those after failed calls. */
    @Test
    void readsAreSpacedWhileTheListenerIsFaulty() {
        informer.start();
        isListenerFaulty = true;
        create("a");
        int before = store.reads();
        timers.advance(Duration.ofSeconds(10));
        assertThat(store.reads() - before, lessThan(40));
    }

    @Test
    void roundWithoutProgressIsReplaced() {
        create("a");
        informer.start();
        store.setWatchesSilent(true);
        store.expireWatches();
        create("b");
        timers.advance(InformerSettings.defaults().progressTimeout().multipliedBy(2));
        assertThat(names(), containsInAnyOrder("a", "b"));
    }

    private Optional<StoredObject> decode(StoredObject object) {
        if (object.name().equals(INVALID) || object.spec().asText().equals(INVALID)) {
            throw new IllegalArgumentException("invalid");
        }
        return Optional.of(object);
    }

    private void onObjects(Map<String, StoredObject> objects) {
        if (isListenerFaulty) {
            throw new IllegalStateException("fault of the listener");
        }
        syncedBeforeReceived |= received.isEmpty() && informer.isSynced();
        received = objects;
    }

    private Set<String> names() {
        return received.keySet();
    }

    private void create(String name) {
        store.create(StoredObject.create(KIND, name, JsonNodeFactory.instance.objectNode()))
                .await()
                .indefinitely();
    }

    private void put(String name, String content) {
        StoredObject before = store.read(KIND, name).await().indefinitely();
        store.update(before.withSpec(JsonNodeFactory.instance.textNode(content)))
                .await()
                .indefinitely();
    }

    private void remove(String name) {
        store.delete(store.read(KIND, name).await().indefinitely()).await().indefinitely();
    }
}
