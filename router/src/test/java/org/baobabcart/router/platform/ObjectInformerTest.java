package org.baobabcart.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class ObjectInformerTest {
    private static final String KIND = "upstreams";
    private static final Duration GRACE = Duration.ofSeconds(2);
    private static final long SEED = 5401;

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private Map<String, StoredObject> received = Map.of();
    private boolean syncedBeforeReceived;
    private final ObjectInformer informer = ObjectInformer.create(
            KIND,
            new ObjectInformer.Dependencies(
                    store,
                    Runnable::run,
                    timers,
                    new Random(SEED),
                    (type, request, fields) -> {},
                    new MetricRegistry()),
            InformerSettings.defaults().withRemovalGrace(GRACE),
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

    private void onObjects(Map<String, StoredObject> objects) {
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

    private void remove(String name) {
        store.delete(store.read(KIND, name).await().indefinitely()).await().indefinitely();
    }
}
