package org.baobabcart.router.machine;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.machine.MachineListTracker;
import org.baobabcart.policy.machine.MachineStatement;
import org.baobabcart.policy.machine.MachineTable;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.document.DocumentDependencies;
import org.baobabcart.router.document.ReplicatedDocument;
import org.baobabcart.router.member.DutyAssignment;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.platform.VirtualMachineList;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.DocumentVersion;

/**
 * Holds the list of VMs: reads it while this router is among the readers of its data centre, takes differences from peers
 * otherwise, and reads by itself when nothing proves that some reader has read lately. Confined to the control thread.
 */
public final class MachineListController implements Controller, ReplicatedDocument {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String NAME = "virtual-machines";
    private static final String DUTY = "read/" + NAME;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final DocumentDependencies parts;
    private final MachineListSettings settings;
    private final MachineListReader reader;
    private Optional<TimerService.Subscription> subscription = Optional.empty();
    private MachineTable table = MachineTable.empty();
    private MachineListTracker readings = MachineListTracker.empty();
    private OptionalLong readAtNanos = OptionalLong.empty();
    private boolean onDuty;
    private boolean byItself;
    private boolean fetching;

    private MachineListController(VirtualMachineList list, DocumentDependencies parts, MachineListSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.reader = MachineListReader.create(list, parts, settings, this::received);
    }

    /** A controller that knows of no VM until it is started. */
    public static MachineListController create(
            VirtualMachineList list, DocumentDependencies parts, MachineListSettings settings) {
        return new MachineListController(list, parts, settings);
    }

    @Override
    public void start() {
        review(parts.blackboard().read(Sections.MEMBERS));
        parts.blackboard().subscribe(Sections.MEMBERS, this::review);
        subscription = Optional.of(parts.timers().every(NAME, settings.tickPeriod(), this::tick));
        tick();
    }

    @Override
    public Uni<Void> stop() {
        subscription.ifPresent(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public DocumentVersion version() {
        DocumentVersion version = new DocumentVersion(NAME, table.clock()).setDigest(table.digest());
        ageNanos().ifPresent(age -> version.setAgeMillis(age / NANOS_PER_MILLISECOND));
        return version;
    }

    @Override
    public void onPeerVersion(DocumentVersion version, String peerAddress) {
        long now = parts.timers().nanoTime();
        if (version.getDigest() == table.digest()) {
            same(version, now);
        } else if (!fetching && version.getGeneration() >= table.clock()) {
            fetch(new Fetch(version, peerAddress, now, FetchWindow.narrowest()));
        }
    }

    @Override
    public DocumentReply reply(DocumentRequest request) {
        List<MachineStatement> news = table.statementsAfter(request.getHaveGeneration());
        byte[] content = news.isEmpty() ? new byte[0] : MachineStatementCodec.encode(news);
        return new DocumentReply(NAME, table.clock(), request.getHaveGeneration(), ByteBuffer.wrap(content));
    }

    /** Whether this router reads the list, by duty or because nobody else is known to have done so. */
    public boolean isReader() {
        return onDuty || byItself;
    }

    /** How long ago some router read what is held here, in milliseconds; empty if it is not known. */
    public OptionalLong ageMillis() {
        OptionalLong age = ageNanos();
        return age.isEmpty() ? age : OptionalLong.of(age.getAsLong() / NANOS_PER_MILLISECOND);
    }

    private void review(Members members) {
        onDuty = DutyAssignment.isAssigned(DUTY, members, settings.readersPerDataCentre());
    }

    private void tick() {
        byItself |= outdated();
        if (isReader()) {
            reader.readIfDue(!onDuty);
        }
    }

    private boolean outdated() {
        int fleetSize = 1 + parts.blackboard().read(Sections.MEMBERS).others().size();
        OptionalLong age = ageNanos();
        return age.isEmpty() || age.getAsLong() > settings.staleAfter(fleetSize).toNanos();
    }

    private OptionalLong ageNanos() {
        return readAtNanos.isEmpty()
                ? readAtNanos
                : OptionalLong.of(parts.timers().nanoTime() - readAtNanos.getAsLong());
    }

    private void received(MachineListReader.Reading reading) {
        long now = parts.timers().nanoTime();
        MachineListTracker.Outcome outcome = readings.read(reading.machines(), table, outdated(), now);
        readings = outcome.tracker();
        readAt(reading.begunNanos());
        take(outcome.statements());
    }

    private void same(DocumentVersion version, long heardNanos) {
        table = table.withClockAtLeast(version.getGeneration());
        if (version.isSetAgeMillis()) {
            readAt(heardNanos - version.getAgeMillis() * NANOS_PER_MILLISECOND);
            byItself &= outdated();
        }
    }

    private void readAt(long nanos) {
        if (readAtNanos.isEmpty() || nanos - readAtNanos.getAsLong() > 0) {
            readAtNanos = OptionalLong.of(nanos);
        }
    }

    /** What a peer said of its version, and how far back it is asked. */
    private record Fetch(DocumentVersion version, String peerAddress, long heardNanos, FetchWindow window) {
        Fetch wider() {
            return new Fetch(version, peerAddress, heardNanos, window.wider());
        }
    }

    private void fetch(Fetch fetch) {
        fetching = true;
        long floor = fetch.window().floor(table.clock());
        parts.peers()
                .fetchDocument(fetch.peerAddress(), new DocumentRequest(NAME, floor), settings.fetchTimeout())
                .emitOn(parts.loop())
                .subscribe()
                .with(reply -> fetched(reply, fetch), this::fetchFailed);
    }

    private void fetched(DocumentReply reply, Fetch fetch) {
        fetching = false;
        List<MachineStatement> received =
                reply.getContent().length == 0 ? List.of() : MachineStatementCodec.decode(reply.getContent());
        take(received);
        long floor = reply.getBaseGeneration();
        if (fetch.version().getDigest() == table.digest()) {
            same(fetch.version(), fetch.heardNanos());
        } else if (floor > 0 && !table.isAheadOf(received, floor)) {
            fetch(fetch.wider());
        }
    }

    private void fetchFailed(Throwable failure) {
        fetching = false;
        LOGGER.atFine().withCause(failure).log("event=document_fetch_failed document=%s", NAME);
    }

    private void take(Collection<MachineStatement> statements) {
        MachineTable taken = table.with(statements);
        if (taken == table) {
            return;
        }
        List<VirtualMachine> before = table.machines();
        table = taken;
        recordChanges(before, taken.machines());
        parts.blackboard().write(Sections.VIRTUAL_MACHINES, taken.machines());
        parts.gossipSoon().run();
    }

    private void recordChanges(List<VirtualMachine> before, List<VirtualMachine> after) {
        Map<String, VirtualMachine> vanished = new HashMap<>();
        before.forEach(machine -> vanished.put(machine.name(), machine));
        List<EventFields> changes = new ArrayList<>();
        for (VirtualMachine machine : after) {
            if (!machine.equals(vanished.remove(machine.name()))) {
                changes.add(change(machine.name(), machine.state().name()));
            }
        }
        vanished.keySet().forEach(name -> changes.add(change(name, "VANISHED")));
        changes.forEach(change -> parts.timeline().record(EventType.UPSTREAM_CHANGED, change));
    }

    private static EventFields change(String name, String state) {
        return EventFields.of(EventField.UPSTREAM, name).with(EventField.STATE, state);
    }
}
