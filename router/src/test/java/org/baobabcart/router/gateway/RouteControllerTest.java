package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RouteControllerTest {
    private static final String NAME = "main";
    private static final CallerLimits LIMITS =
            new CallerLimits(1_024, 1_024, Duration.ofSeconds(1), Duration.ofSeconds(1));
    private static final Duration MINUTE = Duration.ofMinutes(1);

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Blackboard blackboard = Blackboard.create();
    private final TableCodec codec = new TableCodec();

    /** Decodes a table from its version and the health path of its only service. */
    private static final class TableCodec extends TestOrderCodec {
        @Override
        public Optional<RouteTable> routeTable(StoredObject object) {
            Map<String, String> healthPaths =
                    Map.of(SERVICE, object.spec().path("path").asText());
            return Optional.of(RouteTable.of(object.spec().path("version").asLong(), List.of(), healthPaths, LIMITS));
        }
    }

    @BeforeEach
    void start() {
        store.setEra(1);
        put(12, "/health");
        RouteController.create(
                        codec,
                        new ObjectInformer.Dependencies(
                                store,
                                Runnable::run,
                                timers,
                                new Random(1),
                                (type, request, fields) -> {},
                                new MetricRegistry()),
                        blackboard,
                        (type, request, fields) -> {})
                .start();
    }

    private void put(long version, String path) {
        StoredObject object = StoredObject.create(
                codec.configurationKind(),
                NAME,
                JsonNodeFactory.instance.objectNode().put("version", version).put("path", path));
        store.read(codec.configurationKind(), NAME)
                .flatMap(known -> store.update(known.withSpec(object.spec())))
                .onFailure()
                .recoverWithUni(() -> store.create(object))
                .await()
                .indefinitely();
    }

    private RouteTable inForce() {
        return blackboard.read(Sections.ROUTES).orElseThrow();
    }

    @Test
    void olderTableIsPutAsideForGood() {
        put(9, "/health");
        timers.advance(MINUTE.multipliedBy(10));
        assertThat(inForce().version(), is(12L));
    }

    /** The copy from which the store came back held an older table than the one that routers acted on. */
    @Test
    void olderTableOfAnotherEraIsPutAsideUntilTheOperatorHasHadTimeToWriteAgain() {
        put(9, "/health");
        store.setEra(2);
        timers.advance(MINUTE.minusSeconds(1));
        assertThat(inForce().version(), is(12L));
        timers.advance(Duration.ofSeconds(1));
        assertThat(inForce().version(), is(9L));
    }

    @Test
    void tableThatTheOperatorWritesAgainStays() {
        put(9, "/health");
        store.setEra(2);
        put(12, "/health");
        timers.advance(MINUTE.multipliedBy(10));
        assertThat(inForce().version(), is(12L));
    }

    @Test
    void otherContentUnderTheSameVersionIsApplied() {
        put(12, "/other-health");
        assertThat(inForce().healthPath(TestOrderCodec.SERVICE), is("/other-health"));
    }
}
