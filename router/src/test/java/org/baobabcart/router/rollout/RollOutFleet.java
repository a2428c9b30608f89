package org.baobabcart.router.rollout;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.ControllerLossPolicy;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.policy.rollout.VersionOutcome;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.sheet.SheetDocuments;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.MemberState;
import org.baobabcart.wire.MemberUpdate;

/**
 * Several roll-out controllers that share a platform and a clock. Tests control membership and the exchanges between
 * routers.
 */
final class RollOutFleet {
    static final String MODEL = "layout";
    static final String OLD_VERSION = "v1";
    static final String NEW_VERSION = "v2";
    private static final int OLD_REQUESTS_PER_NEW = 9;

    final ManualTimerService timers = ManualTimerService.create();
    final InMemoryObjectStore store = InMemoryObjectStore.create();
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PublishedSheet sheet;

    RollOutFleet(ControllerLossPolicy whenControllerLost, String... names) {
        sheet = new PublishedSheet(1, "publish", "test", 0, sheet(whenControllerLost));
        for (String name : names) {
            start(name);
        }
        membersChanged();
    }

    /** A simulated router. */
    record Node(String name, Blackboard blackboard, RollOutController controller) {
        RollOutState state() {
            return blackboard.read(Sections.ROLL_OUTS);
        }

        RollOutProgress progress() {
            return state().of(MODEL).orElseThrow();
        }

        boolean isWithdrawn() {
            return state().isWithdrawn(MODEL, NEW_VERSION);
        }

        void recordOutcomes(String version, int requests, boolean success, double rating) {
            for (int index = 0; index < requests; index++) {
                OptionalDouble rated = success ? OptionalDouble.of(rating) : OptionalDouble.empty();
                controller.outcome(MODEL, version, new VersionOutcome(success, rated, OptionalDouble.empty()));
            }
        }

        /** Records successful unrated answers that all have the same latency loss. */
        void recordUnratedAnswers(String version, int requests, double latencyLoss) {
            for (int index = 0; index < requests; index++) {
                controller.outcome(MODEL, version, VersionOutcome.answered(latencyLoss));
            }
        }

        /**
         * Records good outcomes of both versions, with nine requests to the old version for each one to the new version
         * as in the first stage.
         */
        void recordGoodOutcomes(int requests) {
            recordOutcomes(OLD_VERSION, OLD_REQUESTS_PER_NEW * requests, true, 0.9);
            recordOutcomes(NEW_VERSION, requests, true, 0.9);
        }
    }

    /** Starts a router that has not discovered its peers. */
    Node start(String name) {
        Blackboard blackboard = Blackboard.create();
        Member self = member(name);
        blackboard.write(Sections.MEMBERS, Members.alone(self));
        blackboard.write(Sections.SHEET, Optional.of(sheet));
        RollOutDependencies dependencies = new RollOutDependencies(
                RollOutControlSettings.defaults(),
                blackboard,
                Runnable::run,
                timers,
                store,
                (type, request, detail) -> {});
        Node node = new Node(name, blackboard, RollOutController.create(dependencies, self));
        nodes.put(name, node);
        node.controller().onWritten(this::publish);
        node.controller().start();
        stored().ifPresent(node.controller()::published);
        return node;
    }

    /** Publishes the current set of nodes to every router. */
    void membersChanged() {
        for (Node node : nodes.values()) {
            List<Member> others = new ArrayList<>();
            nodes.keySet().stream().filter(name -> !name.equals(node.name())).forEach(name -> others.add(member(name)));
            node.blackboard().write(Sections.MEMBERS, new Members(member(node.name()), others));
        }
    }

    /** Partitions all routers from each other: each one sees only itself. */
    void partitionAll() {
        nodes.values().forEach(node -> node.blackboard().write(Sections.MEMBERS, Members.alone(member(node.name()))));
    }

    /** Removes a router without a planned hand-over. */
    void kill(Node node) {
        nodes.remove(node.name());
        node.controller().stop();
        membersChanged();
    }

    /** Advances the clock second by second; all routers exchange evidence before each step. */
    void advanceSeconds(int count) {
        for (int second = 0; second < count; second++) {
            exchange();
            timers.advance(Duration.ofSeconds(1));
        }
    }

    void exchange() {
        for (Node sender : nodes.values()) {
            Exchange message = new Exchange(
                    new MemberUpdate(sender.name(), 1, MemberState.ALIVE),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    0);
            sender.controller().contribute(message);
            nodes.values().stream()
                    .filter(receiver -> receiver != sender)
                    .forEach(receiver -> receiver.controller().received(message, "127.0.0.1:1"));
        }
    }

    /** Returns the router that the stored state names as the controller. */
    Node controllerNode() {
        String controller = stored().orElseThrow().of(MODEL).orElseThrow().controller();
        return nodes.get(controller.substring(0, controller.indexOf('#')));
    }

    Node otherNode(Node node) {
        return nodes.values().stream()
                .filter(candidate -> candidate != node)
                .findFirst()
                .orElseThrow();
    }

    RollOutProgress storedProgress() {
        return stored().orElseThrow().of(MODEL).orElseThrow();
    }

    Optional<RollOutState> stored() {
        return store.list(ObjectKinds.ROLL_OUTS).await().indefinitely().stream()
                .findFirst()
                .map(object -> SheetDocuments.readRollOuts(object.spec()));
    }

    /** Stores a state as an operator does and publishes it to all routers. */
    void write(RollOutState state) {
        StoredObject current =
                store.read(ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT).await().indefinitely();
        publish(store.update(current.withSpec(new ObjectMapper().valueToTree(state)))
                .await()
                .indefinitely());
    }

    /** Publishes the stored state to all routers, as watches do once the platform is reachable. */
    void publishStored() {
        stored().ifPresent(state ->
                nodes.values().forEach(node -> node.controller().published(state)));
    }

    private void publish(StoredObject object) {
        RollOutState state = SheetDocuments.readRollOuts(object.spec());
        nodes.values().forEach(node -> node.controller().published(state));
    }

    private static Member member(String name) {
        return new Member(name, 1, Member.State.ALIVE, "a", "127.0.0.1:1", "127.0.0.1:2");
    }

    static Sheet sheet(ControllerLossPolicy whenControllerLost) {
        List<Version> versions = List.of(new Version(OLD_VERSION, 1, 0.9, 1), new Version(NEW_VERSION, 1, 0.9, 0));
        List<RollOutStage> stages = List.of(new RollOutStage(0.1, 10, 20), new RollOutStage(0.5, 10, 20));
        RollOut rollOut = new RollOut(MODEL, OLD_VERSION, NEW_VERSION, stages, whenControllerLost);
        return new Sheet(
                "test",
                "normal",
                List.of(),
                List.of(new Model(MODEL, versions)),
                List.of(),
                List.of(),
                List.of(),
                List.of(rollOut),
                List.of(),
                List.of());
    }
}
