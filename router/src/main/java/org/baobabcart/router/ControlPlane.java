package org.baobabcart.router;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Section;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.crash.PeerCrashReports;
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

/**
 * Creates and holds the controllers that run on the control thread: membership, documents, the list of VMs, roll-outs
 * and orders to engines. Immutable; created once the addresses of this router are known.
 *
 * @param members tracks the other routers
 * @param documents serves and receives documents exchanged with peers
 * @param sheets follows the published sheet
 * @param rollOuts follows the published state of roll-outs
 * @param rollOutControl collects evidence on roll-outs, moves them through their stages and stops them
 * @param secrets follows the keys that sign session tokens
 * @param machines reads the list of VMs
 * @param leases acquires and renews the lease on orders to engines
 * @param orders sends orders to engines
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
        DocumentDependencies dependencies = new DocumentDependencies(
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
                SheetDocuments.sheet(),
                dependencies,
                sheet -> core.blackboard().write(Sections.SHEET, Optional.of(sheet)));
        RollOutController rollOutControl = RollOutController.create(rollOutDependencies(core), self);
        DocumentController<RollOutState> rollOuts =
                DocumentController.create(SheetDocuments.rollOuts(), dependencies, rollOutControl::published);
        rollOutControl.onWritten(rollOuts::applyWritten);
        DocumentController<SessionSecrets> secrets =
                document(core, SessionSecretDocument.kind(), dependencies, Sections.SESSION_SECRETS);
        DocumentRegistry documents = DocumentRegistry.create(core.loop());
        MachineListController machines = machines(core, dependencies);
        List.of(sheets, rollOuts, secrets, machines).forEach(documents::add);
        members.addParticipant(documents);
        members.addParticipant(rollOutControl);
        core.feedback().addListener(rollOutControl);
        members.addParticipant(PeerCrashReports.create(
                core.crashes(), core.timers(), () -> core.loop().execute(members::gossipSoon)));
        OrderDependencies orderDependencies = orderDependencies(core);
        LeaseController leases = LeaseController.create(orderDependencies, self);
        OrderController orders = OrderController.create(
                orderDependencies,
                leases,
                HttpEngineOrderClient.create(
                        core.vertx(), orderDependencies.settings().sendTimeout(), core.transport()),
                self.dataCentre());
        return new ControlPlane(
                members, documents, sheets, rollOuts, rollOutControl, secrets, machines, leases, orders);
    }

    /** Returns the controllers in the order in which they are started. */
    List<Controller> controllers() {
        return List.of(members, machines, sheets, rollOuts, secrets, rollOutControl, leases, orders);
    }

    private static MembershipController members(RouterCore core, Member self) {
        MembershipDependencies dependencies = new MembershipDependencies(
                MembershipSettings.defaults(),
                core.blackboard(),
                core.loop(),
                core.timers(),
                core.peers(),
                core.timeline(),
                core.random());
        return MembershipController.create(dependencies, self, core.settings().peers());
    }

    private static RollOutDependencies rollOutDependencies(RouterCore core) {
        return new RollOutDependencies(
                RollOutControlSettings.defaults(),
                core.blackboard(),
                core.loop(),
                core.timers(),
                core.store(),
                core.timeline());
    }

    private static OrderDependencies orderDependencies(RouterCore core) {
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
            RouterCore core, DocumentKind<T> kind, DocumentDependencies dependencies, Section<T> section) {
        return DocumentController.create(
                kind, dependencies, document -> core.blackboard().write(section, document));
    }

    private static MachineListController machines(RouterCore core, DocumentDependencies dependencies) {
        VirtualMachineList list = HttpVirtualMachineList.create(
                core.vertx(),
                core.settings().virtualMachines(),
                PlatformSettings.defaults().withTransport(core.transport()));
        return MachineListController.create(list, dependencies, MachineListSettings.defaults());
    }
}
