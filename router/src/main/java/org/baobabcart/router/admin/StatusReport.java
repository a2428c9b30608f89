package org.baobabcart.router.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.document.DocumentController;
import org.baobabcart.router.machine.MachineListController;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;

/** Reports the control state of a router as JSON for operators. Confined to the control thread. */
public final class StatusReport {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final Blackboard blackboard;
    private final TimerService timers;
    private final DocumentController<PublishedSheet> sheets;
    private final MachineListController machines;

    private StatusReport(
            Blackboard blackboard,
            TimerService timers,
            DocumentController<PublishedSheet> sheets,
            MachineListController machines) {
        this.blackboard = blackboard;
        this.timers = timers;
        this.sheets = sheets;
        this.machines = machines;
    }

    /** Creates a report on the given control state. */
    public static StatusReport create(
            Blackboard blackboard,
            TimerService timers,
            DocumentController<PublishedSheet> sheets,
            MachineListController machines) {
        return new StatusReport(blackboard, timers, sheets, machines);
    }

    /** Returns the current state as JSON. */
    public ObjectNode toJson(Addresses addresses) {
        Members members = blackboard.read(Sections.MEMBERS);
        Member self = members.self();
        Optional<String> notReadyReason = Readiness.notReadyReason(blackboard);
        ObjectNode report = MAPPER.createObjectNode()
                .put("name", self.nodeId())
                .put("dataCentre", self.dataCentre())
                .put("incarnation", self.incarnation())
                .put("ready", notReadyReason.isEmpty())
                .put("notReadyReason", notReadyReason.orElse(""))
                .put("stopping", blackboard.read(Sections.STOPPING));
        report.set("sheet", sheet());
        report.set(
                "rollOuts",
                MAPPER.createObjectNode()
                        .put("generation", blackboard.read(Sections.ROLL_OUTS).generation()));
        report.set("orders", MAPPER.valueToTree(blackboard.read(Sections.ORDERS)));
        report.set(
                "sessionKeys",
                MAPPER.createObjectNode()
                        .put(
                                "generation",
                                blackboard.read(Sections.SESSION_SECRETS).generation()));
        report.put("platformReachable", blackboard.read(Sections.PLATFORM_REACHABLE));
        report.set("members", MAPPER.valueToTree(members.others()));
        report.set(
                "virtualMachineList",
                MAPPER.createObjectNode()
                        .put("reads", machines.isReader())
                        .put("ageMillis", machines.ageMillis().orElse(-1)));
        report.set(
                "upstreams",
                MAPPER.valueToTree(blackboard.read(Sections.VIRTUAL_MACHINES).stream()
                        .filter(machine -> machine.role() != VirtualMachine.Role.ROUTER)
                        .toList()));
        report.set("addresses", MAPPER.valueToTree(addresses));
        return report;
    }

    private ObjectNode sheet() {
        ObjectNode node = MAPPER.createObjectNode();
        Optional<PublishedSheet> current = blackboard.read(Sections.SHEET);
        node.put("generation", current.map(PublishedSheet::generation).orElse(0L));
        node.put("name", current.map(sheet -> sheet.sheet().name()).orElse(""));
        node.put("publishId", current.map(PublishedSheet::publishId).orElse(""));
        node.put("ageMillis", current.map(this::ageMillis).orElse(-1L));
        node.put("source", sheets.source().name());
        node.put("confirmedAgoMillis", confirmedAgoMillis());
        return node;
    }

    private long ageMillis(PublishedSheet sheet) {
        return Math.max(0, timers.wallClockMillis() - sheet.publishedAtMillis());
    }

    private long confirmedAgoMillis() {
        if (sheets.confirmedAtNanos().isEmpty()) {
            return -1;
        }
        return (timers.nanoTime() - sheets.confirmedAtNanos().getAsLong()) / NANOS_PER_MILLISECOND;
    }
}
