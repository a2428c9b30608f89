package org.baobabcart.router;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Section;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.document.DocumentController;
import org.baobabcart.router.document.DocumentDependencies;
import org.baobabcart.router.document.DocumentKind;
import org.baobabcart.router.document.DocumentRegistry;
import org.baobabcart.router.document.DocumentSettings;
import org.baobabcart.router.key.SessionSecretDocument;
import org.baobabcart.router.key.SessionSecrets;
import org.baobabcart.router.machine.MachineListController;
import org.baobabcart.router.machine.MachineListSettings;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.MembershipController;
import org.baobabcart.router.member.MembershipDependencies;
import org.baobabcart.router.member.MembershipSettings;
import org.baobabcart.router.order.HttpEngineOrderClient;
import org.baobabcart.router.order.LeaseController;
import org.baobabcart.router.order.OrderController;
import org.baobabcart.router.order.OrderDependencies;
import org.baobabcart.router.order.OrderSettings;
import org.baobabcart.router.platform.HttpVirtualMachineList;
import org.baobabcart.router.platform.PlatformSettings;
import org.baobabcart.router.platform.VirtualMachineList;
import org.baobabcart.router.rollout.RollOutControlSettings;
import org.baobabcart.router.rollout.RollOutController;
import org.baobabcart.router.rollout.RollOutDependencies;
import org.baobabcart.router.sheet.SheetDocuments;
import org.baobabcart.router.upstream.CrashController;

/**
 * The controllers of membership, documents and the list of VMs, wired to each other. Immutable; made once the addresses
 * of this router are known.
 *
 * @param members the membership
 * @param documents the documents towards peers
 * @param sheets the sheet
 * @param rollOuts the roll-outs' state
 * @param rollOutControl evidence, stages and stops of roll-outs
 * @param secrets the session keys
 * @param machines the list of VMs
 * @param leases the lease on orders to engines
 * @param orders orders to engines
 */
record ControlPlane(
        MembershipController members,
        DocumentRegistry documents,
        DocumentController<PublishedSheet> sheets,
        DocumentController<RollOutState> rollOuts,
        RollOutController rollOutControl,
        DocumentController<SessionSecrets> secrets,
        MachineListController machines,
        LeaseController leases,
        OrderController orders) {
    static ControlPlane create(RouterCore core, Member self) {
        MembershipController members = members(core, self);
        DocumentDependencies parts = new DocumentDependencies(
                DocumentSettings.defaults(),
                core.blackboard(),
                core.loop(),
                core.timers(),
                core.store(),
                core.peers(),
                core.timeline(),
                core.random(),
                members::gossipSoon);
        DocumentController<PublishedSheet> sheets = DocumentController.create(
                SheetDocuments.sheet(), parts, sheet -> core.blackboard().write(Sections.SHEET, Optional.of(sheet)));
        RollOutController rollOutControl = RollOutController.create(rollOutParts(core), self);
        DocumentController<RollOutState> rollOuts =
                DocumentController.create(SheetDocuments.rollOuts(), parts, rollOutControl::published);
        rollOutControl.onWritten(rollOuts::applyWritten);
        DocumentController<SessionSecrets> secrets =
                document(core, SessionSecretDocument.kind(), parts, Sections.SESSION_SECRETS);
        DocumentRegistry documents = DocumentRegistry.create(core.loop());
        MachineListController machines = machines(core, parts);
        List.of(sheets, rollOuts, secrets, machines).forEach(documents::add);
        members.addParticipant(documents);
        members.addParticipant(rollOutControl);
        core.feedback().addListener(rollOutControl);
        CrashController crashes =
                CrashController.create(core.blackboard(), core.timeline(), members::gossipSoon, self.nodeId());
        members.addParticipant(crashes);
        core.feedback().addListener(crashes);
        OrderDependencies orderParts = orderParts(core);
        LeaseController leases = LeaseController.create(orderParts, self);
        OrderController orders = OrderController.create(
                orderParts,
                leases,
                HttpEngineOrderClient.create(core.vertx(), orderParts.settings().sendTimeout(), core.transport()),
                self.dataCentre());
        return new ControlPlane(
                members, documents, sheets, rollOuts, rollOutControl, secrets, machines, leases, orders);
    }

    /** The controllers in the order of their start. */
    List<Controller> controllers() {
        return List.of(members, machines, sheets, rollOuts, secrets, rollOutControl, leases, orders);
    }

    private static MembershipController members(RouterCore core, Member self) {
        MembershipDependencies parts = new MembershipDependencies(
                MembershipSettings.defaults(),
                core.blackboard(),
                core.loop(),
                core.timers(),
                core.peers(),
                core.timeline(),
                core.random());
        return MembershipController.create(parts, self, core.settings().peers());
    }

    private static RollOutDependencies rollOutParts(RouterCore core) {
        return new RollOutDependencies(
                RollOutControlSettings.defaults(),
                core.blackboard(),
                core.loop(),
                core.timers(),
                core.store(),
                core.timeline());
    }

    private static OrderDependencies orderParts(RouterCore core) {
        return new OrderDependencies(
                OrderSettings.defaults(),
                core.blackboard(),
                core.loop(),
                core.timers(),
                core.store(),
                core.timeline(),
                core.metrics());
    }

    private static <T> DocumentController<T> document(
            RouterCore core, DocumentKind<T> kind, DocumentDependencies parts, Section<T> section) {
        return DocumentController.create(
                kind, parts, document -> core.blackboard().write(section, document));
    }

    private static MachineListController machines(RouterCore core, DocumentDependencies parts) {
        VirtualMachineList list = HttpVirtualMachineList.create(
                core.vertx(),
                core.settings().virtualMachines(),
                PlatformSettings.defaults().withTransport(core.transport()));
        return MachineListController.create(list, parts, MachineListSettings.defaults());
    }
}
