package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.view.ViewPublisher;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EvacuationControllerTest {
    private static final Duration RECONNECTED = Duration.ofSeconds(1);
    private static final JsonNode ORDER = JsonNodeFactory.instance.objectNode();
    private static final JsonNode UNREADABLE = JsonNodeFactory.instance.arrayNode();

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Blackboard blackboard = Blackboard.create();
    private final ViewPublisher views = ViewPublisher.create(blackboard);
    private final List<EventFields> events = new ArrayList<>();
    private final EvacuationController controller = EvacuationController.create(
            new TestOrderCodec(),
            new ObjectInformer.Dependencies(
                    store,
                    Runnable::run,
                    timers,
                    RandomGenerator.getDefault(),
                    (type, request, fields) -> {},
                    new MetricRegistry()),
            blackboard,
            (type, request, fields) -> {
                if (type == EventType.DATA_CENTRE_CHANGED) {
                    events.add(fields);
                }
            },
            dataCentre -> 3);

    @BeforeEach
    void listUpstreams() {
        views.start();
        blackboard.write(Sections.VIRTUAL_MACHINES, List.of(upstream("one", "a"), upstream("two", "b")));
    }

    @Test
    void nothingIsInUseBeforeTheOrdersAreRead() {
        store.setOutage(true);
        controller.start();
        timers.advance(RECONNECTED);
        assertThat(evacuations().isKnown(), is(false));
        assertThat(usable(), is(List.of()));
        store.setOutage(false);
        order("a");
        timers.advance(RECONNECTED);
        assertThat(usable(), contains("two"));
    }

    @Test
    void orderHoldsUntilItIsTakenBack() {
        controller.start();
        assertThat(usable(), contains("one", "two"));
        order("a");
        assertThat(usable(), contains("two"));
        order("b");
        assertThat(usable(), is(List.of()));
        timers.advance(RECONNECTED);
        takeBack("a");
        assertThat(usable(), contains("one"));
        assertThat(evacuations().returnedNanos("a"), is(OptionalLong.of(RECONNECTED.toNanos())));
        order("a");
        assertThat(usable(), is(List.of()));
        assertThat(evacuations().returnedNanos("a"), is(OptionalLong.empty()));
    }

    @Test
    void lastKnownOrdersHoldWhileTheStoreIsAway() {
        order("a");
        controller.start();
        store.setOutage(true);
        timers.advance(RECONNECTED);
        assertThat(usable(), contains("two"));
        store.setOutage(false);
        takeBack("a");
        order("b");
        store.setOutage(true);
        timers.advance(RECONNECTED);
        assertThat("neither change is known", usable(), contains("two"));
        store.setOutage(false);
        timers.advance(RECONNECTED);
        assertThat(usable(), contains("one"));
    }

    @Test
    void returnIsLearnedFromTheSnapshotAfterHistoryWasLost() {
        order("a");
        order("b");
        controller.start();
        store.removeSilently(TestOrderCodec.EVACUATION_KIND, "a");
        assertThat(evacuations().dataCentres(), is(Set.of("b")));
    }

    @Test
    void unreadableOrderConcernsNoDataCentre() {
        write("b", UNREADABLE);
        order("a");
        controller.start();
        assertThat(usable(), contains("two"));
        update("a", UNREADABLE);
        assertThat("the last valid version holds", usable(), contains("two"));
        takeBack("b");
        takeBack("a");
        assertThat(usable(), contains("one", "two"));
    }

    @Test
    void orderOfUnknownDataCentreChangesNothing() {
        controller.start();
        order("elsewhere");
        assertThat(usable(), contains("one", "two"));
        assertThat(events.get(0).get(EventField.UPSTREAMS), is(Optional.of("0")));
    }

    @Test
    void eachChangeIsRecordedOnce() {
        controller.start();
        order("a");
        update("a", ORDER);
        order("b");
        takeBack("a");
        List<String> states = events.stream()
                .map(event -> event.get(EventField.DATA_CENTRE).orElseThrow() + " "
                        + event.get(EventField.STATE).orElseThrow())
                .toList();
        assertThat(states, contains("a evacuated", "a evacuated", "b evacuated", "a in use"));
    }

    private Evacuations evacuations() {
        return blackboard.read(Sections.EVACUATED);
    }

    private List<String> usable() {
        return views.current().upstreams().stream().map(VirtualMachine::name).toList();
    }

    private void order(String dataCentre) {
        write(dataCentre, ORDER);
    }

    private void write(String dataCentre, JsonNode specification) {
        store.create(StoredObject.create(TestOrderCodec.EVACUATION_KIND, dataCentre, specification))
                .await()
                .indefinitely();
    }

    private void update(String dataCentre, JsonNode specification) {
        store.update(read(dataCentre).withSpec(specification)).await().indefinitely();
    }

    private void takeBack(String dataCentre) {
        store.delete(read(dataCentre)).await().indefinitely();
    }

    private StoredObject read(String dataCentre) {
        return store.read(TestOrderCodec.EVACUATION_KIND, dataCentre).await().indefinitely();
    }

    private static VirtualMachine upstream(String name, String dataCentre) {
        return new VirtualMachine(
                name,
                VirtualMachine.Role.SERVICE,
                dataCentre,
                VirtualMachine.State.LIVE,
                "http://127.0.0.1:1",
                "",
                "v1",
                "service");
    }
}
