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
 * Maintains the list of VMs. A router reads the list from the platform while it is one of the assigned readers of its
 * data centre, and otherwise fetches differences from peers. A router without the assignment also reads the list if its
 * table is stale, that is, if no reader is known to have read the list recently. Confined to the control thread.
 */
public final class MachineListController implements Controller, ReplicatedDocument {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String NAME = "virtual-machines";
    private static final String DUTY = "read/" + NAME;
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final DocumentDependencies dependencies;
    private final MachineListSettings settings;
    private final MachineListReader reader;
    private Optional<TimerService.Subscription> subscription = Optional.empty();
    private MachineTable table = MachineTable.empty();
    private MachineListTracker tracker = MachineListTracker.empty();
    private OptionalLong lastReadNanos = OptionalLong.empty();
    private boolean assigned;
    private boolean readsUnassigned;
    private boolean fetching;

    private MachineListController(
            VirtualMachineList list, DocumentDependencies dependencies, MachineListSettings settings) {
        this.dependencies = dependencies;
        this.settings = settings;
        this.reader = MachineListReader.create(list, dependencies, settings, this::onRead);
    }

    /** Creates a controller whose list is empty until it is started. */
    public static MachineListController create(
            VirtualMachineList list, DocumentDependencies dependencies, MachineListSettings settings) {
        return new MachineListController(list, dependencies, settings);
    }

    @Override
    public void start() {
        onMembers(dependencies.blackboard().read(Sections.MEMBERS));
        dependencies.blackboard().subscribe(Sections.MEMBERS, this::onMembers);
        subscription = Optional.of(dependencies.timers().every(NAME, settings.tickPeriod(), this::tick));
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
        long now = dependencies.timers().nanoTime();
        if (version.getDigest() == table.digest()) {
            onSameTable(version, now);
        } else if (!fetching && version.getGeneration() >= table.clock()) {
            fetch(new Fetch(version, peerAddress, now, FetchWindow.initial()));
        }
    }

    @Override
    public DocumentReply reply(DocumentRequest request) {
        List<MachineStatement> missing = table.statementsAfter(request.getHaveGeneration());
        byte[] content = missing.isEmpty() ? new byte[0] : MachineStatementCodec.encode(missing);
        return new DocumentReply(NAME, table.clock(), request.getHaveGeneration(), ByteBuffer.wrap(content));
    }

    /**
     * Returns whether this router reads the list, because it is assigned to or because no other router is known to have
     * read it recently.
     */
    public boolean isReader() {
        return assigned || readsUnassigned;
    }

    /** Returns the time since any router read the list that this table reflects, in milliseconds; empty if unknown. */
    public OptionalLong ageMillis() {
        OptionalLong age = ageNanos();
        return age.isEmpty() ? age : OptionalLong.of(age.getAsLong() / NANOS_PER_MILLISECOND);
    }

    private void onMembers(Members members) {
        assigned = DutyAssignment.isAssigned(DUTY, members, settings.readersPerDataCentre());
    }

    private void tick() {
        readsUnassigned |= isStale();
        if (isReader()) {
            reader.readIfDue(!assigned);
        }
    }

    private boolean isStale() {
        int fleetSize =
                1 + dependencies.blackboard().read(Sections.MEMBERS).others().size();
        OptionalLong age = ageNanos();
        return age.isEmpty() || age.getAsLong() > settings.staleAfter(fleetSize).toNanos();
    }

    private OptionalLong ageNanos() {
        return lastReadNanos.isEmpty()
                ? lastReadNanos
                : OptionalLong.of(dependencies.timers().nanoTime() - lastReadNanos.getAsLong());
    }

    private void onRead(MachineListReader.Reading reading) {
        long now = dependencies.timers().nanoTime();
        MachineListTracker.Outcome outcome = tracker.read(reading.machines(), table, isStale(), now);
        tracker = outcome.tracker();
        recordRead(reading.startNanos());
        merge(outcome.statements());
    }

    private void onSameTable(DocumentVersion version, long receivedNanos) {
        table = table.withClockAtLeast(version.getGeneration());
        if (version.isSetAgeMillis()) {
            recordRead(receivedNanos - version.getAgeMillis() * NANOS_PER_MILLISECOND);
            readsUnassigned &= isStale();
        }
    }

    private void recordRead(long nanos) {
        if (lastReadNanos.isEmpty() || nanos - lastReadNanos.getAsLong() > 0) {
            lastReadNanos = OptionalLong.of(nanos);
        }
    }

    /**
     * Fetch of statements from a peer.
     *
     * @param version the version that the peer announced
     * @param peerAddress {@code host:port} of the peer
     * @param receivedNanos the monotonic time at which the version was received
     * @param window the requested window of statements
     */
    private record Fetch(DocumentVersion version, String peerAddress, long receivedNanos, FetchWindow window) {
        Fetch widened() {
            return new Fetch(version, peerAddress, receivedNanos, window.widened());
        }
    }

    private void fetch(Fetch fetch) {
        fetching = true;
        long lowerBound = fetch.window().lowerBound(table.clock());
        dependencies
                .peers()
                .fetchDocument(fetch.peerAddress(), new DocumentRequest(NAME, lowerBound), settings.fetchTimeout())
                .emitOn(dependencies.loop())
                .subscribe()
                .with(reply -> onFetched(reply, fetch), this::onFetchFailed);
    }

    private void onFetched(DocumentReply reply, Fetch fetch) {
        fetching = false;
        List<MachineStatement> received =
                reply.getContent().length == 0 ? List.of() : MachineStatementCodec.decode(reply.getContent());
        merge(received);
        long lowerBound = reply.getBaseGeneration();
        if (fetch.version().getDigest() == table.digest()) {
            onSameTable(fetch.version(), fetch.receivedNanos());
        } else if (lowerBound > 0 && !table.isAheadOf(received, lowerBound)) {
            fetch(fetch.widened());
        }
    }

    private void onFetchFailed(Throwable failure) {
        fetching = false;
        LOGGER.atFine().withCause(failure).log("event=document_fetch_failed document=%s", NAME);
    }

    private void merge(Collection<MachineStatement> statements) {
        MachineTable merged = table.with(statements);
        if (merged == table) {
            return;
        }
        List<VirtualMachine> before = table.machines();
        table = merged;
        recordChanges(before, merged.machines());
        dependencies.blackboard().write(Sections.VIRTUAL_MACHINES, merged.machines());
        dependencies.gossipSoon().run();
    }

    private void recordChanges(List<VirtualMachine> before, List<VirtualMachine> after) {
        Map<String, VirtualMachine> removed = new HashMap<>();
        before.forEach(machine -> removed.put(machine.name(), machine));
        List<EventFields> changes = new ArrayList<>();
        for (VirtualMachine machine : after) {
            if (!machine.equals(removed.remove(machine.name()))) {
                changes.add(change(machine.name(), machine.state().name()));
            }
        }
        removed.keySet().forEach(name -> changes.add(change(name, "VANISHED")));
        changes.forEach(change -> dependencies.timeline().record(EventType.UPSTREAM_CHANGED, change));
    }

    private static EventFields change(String name, String state) {
        return EventFields.of(EventField.UPSTREAM, name).with(EventField.STATE, state);
    }
}
