package org.baobabcart.router.order;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.hash.RendezvousHash;
import org.baobabcart.policy.lease.HeldLease;
import org.baobabcart.policy.lease.LeaseObservation;
import org.baobabcart.policy.lease.LeaseRecord;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Takes, renews and gives back the lease on the orders of this router's data centre. Confined to the control thread but for
 * {@link #mayAct} and {@link #mayActUnfenced}, which any thread may call.
 *
 * <p>Few routers of a data centre, chosen by rendezvous hashing, try to take the lease, and only while the sheet has
 * placements for it; a holder keeps it while it can renew it. A write whose answer is lost is settled by reading; until then
 * nothing is taken for renewed or journalled.
 */
public final class LeaseController implements Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String DUTY = "orders/";

    private final OrderParts parts;
    private final String dataCentre;
    private final String nodeId;
    private final String holderId;
    private Optional<LeaseObservation> seen = Optional.empty();
    private Optional<StoredObject> stored = Optional.empty();
    private OrderJournal journal = OrderJournal.empty();
    private Optional<TimerService.Subscription> timer = Optional.empty();
    private long lastReadNanos;
    private boolean hasRead;
    private boolean busy;
    private volatile boolean doubtful;
    private volatile Optional<HeldLease> held = Optional.empty();

    private LeaseController(OrderParts parts, Member self) {
        this.parts = parts;
        this.dataCentre = self.dataCentre();
        this.nodeId = self.nodeId();
        this.holderId = self.nodeId() + "#" + self.incarnation();
    }

    /** A controller that has not started yet; the member is this router at its start. */
    public static LeaseController create(OrderParts parts, Member self) {
        return new LeaseController(parts, self);
    }

    @Override
    public void start() {
        timer = Optional.of(parts.timers().every("order-lease", parts.settings().period(), this::tick));
    }

    /** Gives the lease back. */
    @Override
    public Uni<Void> stop() {
        timer.ifPresent(TimerService.Subscription::cancel);
        return release();
    }

    /** Whether an order may be sent now to an engine that checks fencing numbers. */
    public boolean mayAct() {
        return !doubtful && isInTime();
    }

    /** Whether an order may be sent now to an engine that may ignore fencing numbers. */
    public boolean mayActUnfenced() {
        boolean waited = held.map(lease -> lease.mayActUnfenced(parts.timers().nanoTime()))
                .orElse(false);
        return !doubtful && waited;
    }

    /**
     * Writes the journal, conditional on the lease.
     *
     * @return whether it surely stands in the platform; completes on the control thread and never fails
     */
    public Uni<Boolean> write(OrderJournal newJournal) {
        if (busy || !mayAct()) {
            return Uni.createFrom().item(false);
        }
        return update(newJournal);
    }

    /** What surely stood in the platform when it was last written or read under the lease held now. */
    OrderJournal journal() {
        return journal;
    }

    /** Nothing is sent until the lease has been read, after an engine has said that it saw a greater fencing number. */
    public void doubt() {
        doubtful = held.isPresent();
    }

    private void tick() {
        if (held.isPresent() && !isInTime()) {
            lose("expired");
        }
        if (busy) {
            return;
        }
        if (held.isPresent()) {
            keep();
        } else if (isCandidate() && readIsDue()) {
            readAndTake();
        }
    }

    private void keep() {
        if (parts.blackboard().read(Sections.STOPPING) || !hasPlacements()) {
            release().subscribe().with(ignored -> {});
        } else if (doubtful) {
            readBack();
        } else if (held.get().isRenewalDue(parts.timers().nanoTime())) {
            update(journal).subscribe().with(ignored -> {});
        }
    }

    private boolean isInTime() {
        return held.map(lease -> lease.mayAct(parts.timers().nanoTime())).orElse(false);
    }

    private boolean hasPlacements() {
        return parts.blackboard()
                .read(Sections.SHEET)
                .map(published -> published.sheet().placements().stream()
                        .anyMatch(placement -> placement.dataCentre().equals(dataCentre)))
                .orElse(false);
    }

    private boolean isCandidate() {
        if (parts.blackboard().read(Sections.STOPPING) || !hasPlacements()) {
            return false;
        }
        Members members = parts.blackboard().read(Sections.MEMBERS);
        List<String> eligible = members.eligible().stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(Member::nodeId)
                .toList();
        return RendezvousHash.top(DUTY + dataCentre, eligible, parts.settings().candidates())
                .contains(nodeId);
    }

    private boolean readIsDue() {
        long since = parts.timers().nanoTime() - lastReadNanos;
        return !hasRead || since >= parts.settings().standbyReadPeriod().toNanos();
    }

    private void readAndTake() {
        busy = true;
        hasRead = true;
        lastReadNanos = parts.timers().nanoTime();
        read().emitOn(parts.loop())
                .flatMap(this::takeIfFree)
                .emitOn(parts.loop())
                .subscribe()
                .with(ignored -> busy = false, failure -> {
                    busy = false;
                    LOGGER.atFine().log("event=lease_not_taken reason=%s", failure.getMessage());
                });
    }

    private Uni<Void> takeIfFree(StoredObject object) {
        LeaseObject current = LeaseObject.read(object.spec());
        long now = parts.timers().nanoTime();
        LeaseObservation observation = seen.map(known -> known.withRead(object.resourceVersion(), current.lease(), now))
                .orElseGet(() -> LeaseObservation.first(object.resourceVersion(), current.lease(), now));
        seen = Optional.of(observation);
        if (!observation.mayAcquire(now, parts.settings().lease())) {
            return Uni.createFrom().voidItem();
        }
        LeaseRecord lease = current.lease().acquiredBy(holderId);
        StoredObject wanted =
                object.withSpec(LeaseObject.of(lease, current.journal()).write());
        long sentAt = parts.timers().nanoTime();
        return put(wanted)
                .emitOn(parts.loop())
                .invoke(written -> taken(written, lease.fencing(), sentAt, current.journal()))
                .replaceWithVoid();
    }

    private void taken(StoredObject object, long fencing, long sentAt, OrderJournal inherited) {
        held = Optional.of(HeldLease.acquired(fencing, sentAt, parts.settings().lease()));
        stored = Optional.of(object);
        journal = inherited;
        doubtful = false;
        seen = Optional.empty();
        recordChange("taken", fencing);
        parts.blackboard().write(Sections.ORDER_LEASE, Optional.of(new OrderLease(fencing, inherited)));
    }

    private Uni<Boolean> update(OrderJournal newJournal) {
        HeldLease lease = held.get();
        StoredObject before = stored.get();
        LeaseRecord record = new LeaseRecord(holderId, lease.fencing());
        long sentAt = parts.timers().nanoTime();
        busy = true;
        return put(before.withSpec(LeaseObject.of(record, newJournal).write()))
                .emitOn(parts.loop())
                .map(object -> renewed(lease, object, newJournal, sentAt))
                .onFailure()
                .recoverWithItem(this::notRenewed);
    }

    private boolean renewed(HeldLease lease, StoredObject object, OrderJournal newJournal, long sentAt) {
        busy = false;
        if (!isHeld(lease.fencing())) {
            return false;
        }
        held = held.map(current -> current.renewed(sentAt));
        stored = Optional.of(object);
        journal = newJournal;
        return true;
    }

    /** The write may have taken effect or the lease may be another's; the next tick reads which. */
    private boolean notRenewed(Throwable failure) {
        busy = false;
        doubtful = !isCode(failure, ResultCode.PLATFORM_UNAVAILABLE);
        LOGGER.atInfo().log("event=lease_write_failed reason=%s", failure.getMessage());
        return false;
    }

    private void readBack() {
        busy = true;
        long fencing = held.get().fencing();
        read().emitOn(parts.loop()).subscribe().with(object -> settle(object, fencing), failure -> busy = false);
    }

    private void settle(StoredObject object, long fencing) {
        busy = false;
        LeaseObject current = LeaseObject.read(object.spec());
        if (!isHeld(fencing)) {
            return;
        }
        if (!current.holder().equals(holderId) || current.fencing() != fencing) {
            lose("taken by another");
            return;
        }
        stored = Optional.of(object);
        journal = current.journal();
        doubtful = false;
    }

    private Uni<Void> release() {
        if (held.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        long fencing = held.get().fencing();
        StoredObject before = stored.get();
        boolean mayWrite = mayAct() && !busy;
        OrderJournal last = journal;
        lose("released");
        if (!mayWrite) {
            return Uni.createFrom().voidItem();
        }
        LeaseRecord record = new LeaseRecord(holderId, fencing).released();
        return put(before.withSpec(LeaseObject.of(record, last).write()))
                .replaceWithVoid()
                .onFailure()
                .recoverWithNull();
    }

    private void lose(String reason) {
        held.ifPresent(lease -> recordChange(reason, lease.fencing()));
        held = Optional.empty();
        stored = Optional.empty();
        seen = Optional.empty();
        doubtful = false;
        parts.blackboard().write(Sections.ORDER_LEASE, Optional.empty());
    }

    private boolean isHeld(long fencing) {
        return held.map(lease -> lease.fencing() == fencing).orElse(false);
    }

    private Uni<StoredObject> read() {
        parts.metrics().counter("orders.lease-reads").inc();
        StoredObject fresh =
                StoredObject.fresh(Kinds.LEASES, dataCentre, LeaseObject.free().write());
        return parts.store()
                .read(Kinds.LEASES, dataCentre)
                .onFailure(failure -> isCode(failure, ResultCode.NOT_FOUND))
                .recoverWithItem(fresh);
    }

    private Uni<StoredObject> put(StoredObject object) {
        parts.metrics().counter("orders.lease-writes").inc();
        return object.resourceVersion().isEmpty()
                ? parts.store().create(object)
                : parts.store().update(object);
    }

    private void recordChange(String change, long fencing) {
        parts.timeline()
                .record(
                        EventType.LEASE_CHANGED,
                        EventFields.of(EventField.CHANGE, change)
                                .with(EventField.HOLDER, nodeId)
                                .with(EventField.FENCING, fencing));
    }

    private static boolean isCode(Throwable failure, ResultCode code) {
        return failure instanceof BaobabcartException exception && exception.code() == code;
    }
}
