package org.baobabcart.router.document;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.machine.MachineListController;
import org.baobabcart.router.machine.MachineListSettings;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.MembershipController;
import org.baobabcart.router.member.MembershipDependencies;
import org.baobabcart.router.member.MembershipSettings;
import org.baobabcart.router.sheet.SheetDocuments;
import org.baobabcart.router.testing.DisconnectableObjectStore;
import org.baobabcart.router.testing.FakeMachineList;
import org.baobabcart.router.timeline.RingTimeline;

/** One router of a {@link FleetSimulation}. */
final class SimulatedRouter {
    private static final int EVENTS = 64;

    final DisconnectableObjectStore store;
    final FakeMachineList.Connection list;
    private final FleetSimulation fleet;
    private final String address;
    private final Blackboard blackboard = Blackboard.create();
    private final MembershipController members;
    private final DocumentController<PublishedSheet> sheets;
    private final MachineListController machines;
    private long highestGeneration;
    private boolean generationDecreased;
    private boolean stopped;
    private long listReachedSinceNanos;

    private SimulatedRouter(FleetSimulation fleet, int index, List<String> seeds) {
        this.fleet = fleet;
        this.address = address(index);
        this.store = DisconnectableObjectStore.of(fleet.store);
        this.list = fleet.list.connection();
        this.listReachedSinceNanos = fleet.timers.nanoTime();
        RingTimeline timeline = RingTimeline.create("node-" + index, fleet.timers, EVENTS);
        Member self = new Member(
                "node-" + index,
                fleet.timers.wallClockMillis(),
                Member.State.ALIVE,
                fleet.dataCentre(index),
                address,
                "");
        members = MembershipController.create(
                new MembershipDependencies(
                        MembershipSettings.defaults(),
                        blackboard,
                        fleet.loop,
                        fleet.timers,
                        fleet.network.clientOf(address),
                        timeline,
                        fleet.random),
                self,
                seeds);
        DocumentDependencies dependencies = new DocumentDependencies(
                DocumentSettings.defaults(),
                blackboard,
                fleet.loop,
                fleet.timers,
                store,
                fleet.network.clientOf(address),
                timeline,
                fleet.random,
                members::gossipSoon);
        sheets = DocumentController.create(SheetDocuments.sheet(), dependencies, this::apply);
        machines = MachineListController.create(list, dependencies, MachineListSettings.defaults());
    }

    static SimulatedRouter start(FleetSimulation fleet, int index, List<String> seeds) {
        SimulatedRouter node = new SimulatedRouter(fleet, index, seeds);
        DocumentRegistry registry = DocumentRegistry.create(fleet.loop);
        registry.add(node.sheets);
        registry.add(node.machines);
        node.members.addParticipant(registry);
        fleet.network.join(node.address, node.members, registry);
        node.members.start();
        node.sheets.start();
        node.machines.start();
        return node;
    }

    static String address(int index) {
        return "host-" + index + ":1";
    }

    /** Stops the router abruptly, without announcing it to the others. */
    void stop() {
        fleet.network.remove(address);
        members.stop().await().indefinitely();
        sheets.stop().await().indefinitely();
        machines.stop().await().indefinitely();
        stopped = true;
    }

    void leave() {
        members.leave();
    }

    long generation() {
        return blackboard.read(Sections.SHEET).map(PublishedSheet::generation).orElse(0L);
    }

    /** Returns whether a sheet was applied that was not newer than the one before. */
    boolean generationDecreased() {
        return generationDecreased;
    }

    DocumentSource source() {
        return sheets.source();
    }

    long liveOthers() {
        return blackboard.read(Sections.MEMBERS).others().stream()
                .filter(member -> member.state() == Member.State.ALIVE)
                .count();
    }

    Optional<Member.State> stateOf(String nodeId) {
        return blackboard.read(Sections.MEMBERS).other(nodeId).map(Member::state);
    }

    boolean isListReader() {
        return machines.isReader();
    }

    void setListCut(boolean cut) {
        list.setDisconnected(cut);
        listReachedSinceNanos = cut ? Long.MAX_VALUE : Math.min(listReachedSinceNanos, fleet.timers.nanoTime());
    }

    /** Returns whether this router could reach the list for at least the given time. */
    boolean reachedListFor(Duration time) {
        return listReachedSinceNanos != Long.MAX_VALUE
                && fleet.timers.nanoTime() - listReachedSinceNanos >= time.toNanos();
    }

    String dataCentre() {
        return blackboard.read(Sections.MEMBERS).self().dataCentre();
    }

    boolean isStopped() {
        return stopped;
    }

    /** Returns the router's list of VMs. */
    List<VirtualMachine> upstreams() {
        return blackboard.read(Sections.VIRTUAL_MACHINES);
    }

    Optional<VirtualMachine> upstream(String name) {
        return upstreams().stream()
                .filter(machine -> machine.name().equals(name))
                .findFirst();
    }

    private void apply(PublishedSheet sheet) {
        generationDecreased |= sheet.generation() <= highestGeneration;
        highestGeneration = sheet.generation();
        blackboard.write(Sections.SHEET, Optional.of(sheet));
    }
}
