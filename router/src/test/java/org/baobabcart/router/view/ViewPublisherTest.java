package org.baobabcart.router.view;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.platform.VirtualMachine.Role;
import org.baobabcart.model.platform.VirtualMachine.State;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.document.DocumentDependencies;
import org.baobabcart.router.document.DocumentSettings;
import org.baobabcart.router.machine.MachineListController;
import org.baobabcart.router.machine.MachineListSettings;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.LoopbackPeers;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.router.timeline.TimelineQuery;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ViewPublisherTest {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Blackboard blackboard = Blackboard.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final RingTimeline timeline = RingTimeline.create("node", timers, 16);
    private final ViewPublisher views = ViewPublisher.create(blackboard);
    private final AtomicReference<Uni<List<VirtualMachine>>> list = new AtomicReference<>();

    @BeforeEach
    void start() {
        show(machine("engine", Role.ENGINE, State.LIVE), machine("router", Role.ROUTER, State.LIVE));
        views.start();
        blackboard.write(Sections.MEMBERS, Members.alone(new Member("node", 1, Member.State.ALIVE, "a", "", "")));
        MachineListController.create(
                        () -> Uni.createFrom().deferred(list::get), dependencies(), MachineListSettings.defaults())
                .start();
    }

    @Test
    void viewContainsLiveUpstreamsButNoRouters() {
        assertThat(upstreams(), contains("engine"));
    }

    @Test
    void leavingUpstreamIsExcludedAsSoonAsTheListShowsIt() {
        show(machine("engine", Role.ENGINE, State.LEAVING));
        timers.advance(PERIOD);
        assertThat(upstreams(), is(empty()));
    }

    @Test
    void vanishedUpstreamIsExcluded() {
        show(machine("router", Role.ROUTER, State.LIVE));
        timers.advance(PERIOD);
        assertThat(upstreams(), is(empty()));
        assertThat(
                timeline.events(TimelineQuery.all()).stream()
                        .anyMatch(event -> event.detail().text().equals("upstream=engine state=VANISHED")),
                is(true));
    }

    @Test
    void emptyListRemovesNothing() {
        show();
        timers.advance(Duration.ofMinutes(5));
        assertThat(upstreams(), contains("engine"));
    }

    @Test
    void lastListIsKeptWhileReadsFail() {
        list.set(Uni.createFrom().failure(BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE)));
        timers.advance(Duration.ofMinutes(5));
        assertThat(upstreams(), contains("engine"));
    }

    @Test
    void viewIsStoppingOnlyOnceTheProcessDrains() {
        blackboard.write(Sections.STOPPING, true);
        assertThat(views.current().stopping(), is(false));
        blackboard.write(Sections.DRAINING, true);
        assertThat(views.current().stopping(), is(true));
    }

    private DocumentDependencies dependencies() {
        return new DocumentDependencies(
                DocumentSettings.defaults(),
                blackboard,
                Runnable::run,
                timers,
                InMemoryObjectStore.create(),
                new LoopbackPeers(),
                timeline,
                new SplittableRandom(1),
                () -> {});
    }

    private void show(VirtualMachine... machines) {
        list.set(Uni.createFrom().item(List.of(machines)));
    }

    private List<String> upstreams() {
        return views.current().upstreams().stream().map(VirtualMachine::name).toList();
    }

    private static VirtualMachine machine(String name, Role role, State state) {
        return new VirtualMachine(name, role, "a", state, "http://127.0.0.1:1", "layout", "v1", "");
    }
}
