package org.baobabcart.router.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class FleetControllerTest {
    private static final Duration START = Duration.ofSeconds(3);

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final List<Router> routers = new ArrayList<>();

    /** A router and what it knows of the others. */
    private record Router(FleetController controller, Blackboard blackboard) {
        List<String> members() {
            return blackboard.read(Sections.FLEET).members().stream()
                    .map(FleetMember::name)
                    .toList();
        }
    }

    private Router start(String name, boolean alwaysFollows) {
        Blackboard blackboard = Blackboard.create();
        ObjectInformer.Dependencies dependencies = new ObjectInformer.Dependencies(
                store,
                Runnable::run,
                timers,
                new Random(name.hashCode()),
                (type, request, fields) -> {},
                new MetricRegistry());
        FleetController controller = FleetController.create(
                name, "dc-1", name + ":7340", dependencies, blackboard, (type, request, fields) -> {}, alwaysFollows);
        controller.start();
        Router router = new Router(controller, blackboard);
        routers.add(router);
        return router;
    }

    @Test
    void routersThatStartTogetherKnowEachOther() {
        List.of("a", "b", "c").forEach(name -> start(name, true));
        timers.advance(START);
        routers.forEach(router -> assertThat(router.members(), contains("a", "b", "c")));
        assertThat(routers.get(0).controller().ageNanos(), lessThan(START.toNanos()));
    }

    @Test
    void knowsNothingBeforeTheFirstRead() {
        store.setOutage(true);
        Router router = start("a", true);
        timers.advance(START);
        assertThat(router.members(), empty());
        assertThat(router.controller().ageNanos(), is(FleetNews.NEVER));
    }

    /** The registration is written again after an outage at the start, within the longest delay between retries. */
    @Test
    void registersAfterAnOutage() {
        store.setOutage(true);
        start("a", true);
        timers.advance(Duration.ofSeconds(60));
        store.setOutage(false);
        timers.advance(Duration.ofSeconds(10));
        assertThat(start("b", true).members(), contains("a", "b"));
    }

    @Test
    void aRestartedRouterReplacesItsEntryAndALostResponseDoesNotStopIt() {
        start("a", true);
        timers.advance(START);
        store.loseNextResponse(FleetController.KIND);
        start("a", true);
        timers.advance(START);
        assertThat(entries(), is(1));
        assertThat(store.writes(FleetController.KIND), lessThanOrEqualTo(4));
    }

    @Test
    void aRemovedEntryIsWrittenAgainByItsOwner() {
        start("a", true);
        Router other = start("b", true);
        timers.advance(START);
        StoredObject entry = store.read(FleetController.KIND, "a").await().indefinitely();
        store.delete(entry).await().indefinitely();
        assertThat(other.members(), contains("b"));
        timers.advance(START);
        assertThat(other.members(), contains("a", "b"));
    }

    @Test
    void aPlannedStopRemovesTheEntry() {
        Router leaving = start("a", true);
        Router other = start("b", true);
        timers.advance(START);
        leaving.controller().leave().await().indefinitely();
        assertThat(other.members(), contains("b"));
        timers.advance(START);
        assertThat(entries(), is(1));
    }

    @Test
    void anUnreadableEntryHidesNoOther() {
        store.create(StoredObject.create(FleetController.KIND, "x", JsonNodeFactory.instance.objectNode()))
                .await()
                .indefinitely();
        start("a", false);
        start("b", true);
        timers.advance(START);
        routers.forEach(router -> assertThat(router.members(), not(hasItem("x"))));
        routers.forEach(router -> assertThat(router.members(), contains("a", "b")));
    }

    /** Without a decision that needs current registrations, a small fleet writes one entry a router and reads the list every half minute. */
    @Test
    void aSmallFleetIsReadSeldom() {
        for (int index = 0; index < FleetController.MIN_SHARING_ROUTERS - 1; index++) {
            start("router-" + index, false);
        }
        timers.advance(Duration.ofMinutes(1));
        assertThat(store.watches(), is(0));
        assertThat(store.writes(), is(routers.size()));
        assertThat(store.reads(), lessThanOrEqualTo(4 * routers.size()));
        assertThat(routers.get(0).members().size(), is(routers.size()));
    }

    @Test
    void aLargerFleetIsFollowed() {
        for (int index = 0; index < FleetController.MIN_SHARING_ROUTERS; index++) {
            start("router-" + index, false);
        }
        timers.advance(START);
        assertThat(store.watches(), is(routers.size()));
    }

    private int entries() {
        return store.list(FleetController.KIND).await().indefinitely().size();
    }
}
