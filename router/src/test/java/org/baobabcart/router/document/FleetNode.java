package org.baobabcart.router.document;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.MembershipController;
import org.baobabcart.router.member.MembershipParts;
import org.baobabcart.router.member.MembershipSettings;
import org.baobabcart.router.sheet.SheetDocuments;
import org.baobabcart.router.testing.CuttableStore;
import org.baobabcart.router.timeline.RingTimeline;

/** One node of a {@link Fleet}. */
final class FleetNode {
    private static final int EVENTS = 64;

    final CuttableStore store;
    private final Fleet fleet;
    private final String address;
    private final Blackboard blackboard = Blackboard.create();
    private final MembershipController members;
    private final DocumentController<PublishedSheet> sheets;
    private long highest;
    private boolean wentBack;

    private FleetNode(Fleet fleet, int index, List<String> seeds) {
        this.fleet = fleet;
        this.address = address(index);
        this.store = CuttableStore.of(fleet.store);
        RingTimeline timeline = RingTimeline.create("node-" + index, fleet.timers, EVENTS);
        Member self = new Member(
                "node-" + index,
                fleet.timers.wallClockMillis(),
                Member.State.ALIVE,
                fleet.dataCentre(index),
                address,
                "");
        members = MembershipController.create(
                new MembershipParts(
                        MembershipSettings.defaults(),
                        blackboard,
                        fleet.loop,
                        fleet.timers,
                        fleet.network.clientOf(address),
                        timeline,
                        fleet.random),
                self,
                seeds);
        DocumentParts parts = new DocumentParts(
                DocumentSettings.defaults(),
                blackboard,
                fleet.loop,
                fleet.timers,
                store,
                fleet.network.clientOf(address),
                timeline,
                fleet.random,
                members::spread);
        sheets = DocumentController.create(SheetDocuments.sheet(), parts, this::apply);
    }

    static FleetNode start(Fleet fleet, int index, List<String> seeds) {
        FleetNode node = new FleetNode(fleet, index, seeds);
        DocumentRegistry registry = DocumentRegistry.create(fleet.loop);
        registry.add(node.sheets);
        node.members.addParticipant(registry);
        fleet.network.join(node.address, node.members, registry);
        node.members.start();
        node.sheets.start();
        return node;
    }

    static String address(int index) {
        return "host-" + index + ":1";
    }

    /** Ends the node without a word to the others. */
    void stop() {
        fleet.network.remove(address);
        members.stop().await().indefinitely();
        sheets.stop().await().indefinitely();
    }

    void leave() {
        members.leave();
    }

    long generation() {
        return blackboard.read(Sections.SHEET).map(PublishedSheet::generation).orElse(0L);
    }

    /** Whether a sheet was put in force that was not newer than the one before. */
    boolean wentBack() {
        return wentBack;
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

    private void apply(PublishedSheet sheet) {
        wentBack |= sheet.generation() <= highest;
        highest = sheet.generation();
        blackboard.write(Sections.SHEET, Optional.of(sheet));
    }
}
