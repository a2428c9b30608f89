package org.baobabcart.router.order;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectKinds;
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
 * Acquires, renews and releases the lease on the orders of this router's data centre. Confined to the control thread,
 * except {@link #mayAct} and {@link #mayActUnfenced}, which any thread may call.
 *
 * <p>Only a few routers of a data centre, selected by rendezvous hashing, try to acquire the lease, and only while the
 * sheet has placements for the data centre. A holder keeps the lease as long as it can renew it. If the answer of a
 * write is lost, the holder reads the lease back; until then neither the renewal nor the journal counts as written.
 */
public final class LeaseController implements Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String HASH_KEY_PREFIX = "orders/";

    private final OrderDependencies dependencies;
    private final String dataCentre;
    private final String nodeId;
    private final String holderId;
    private Optional<LeaseObservation> lastObservation = Optional.empty();
    private Optional<StoredObject> storedObject = Optional.empty();
    private OrderJournal journal = OrderJournal.empty();
    private Optional<TimerService.Subscription> timer = Optional.empty();
    private long lastReadNanos;
    private boolean hasRead;
    private boolean busy;
    private volatile boolean verificationPending;
    private volatile Optional<HeldLease> heldLease = Optional.empty();

    private LeaseController(OrderDependencies dependencies, Member self) {
        this.dependencies = dependencies;
        this.dataCentre = self.dataCentre();
        this.nodeId = self.nodeId();
        this.holderId = self.nodeId() + "#" + self.incarnation();
    }

    /** Creates a controller that is not started; {@code self} describes this router at its start. */
    public static LeaseController create(OrderDependencies dependencies, Member self) {
        return new LeaseController(dependencies, self);
    }

    @Override
    public void start() {
        timer = Optional.of(dependencies
                .timers()
                .every("order-lease", dependencies.settings().period(), this::tick));
    }

    /** Releases the lease. */
    @Override
    public Uni<Void> stop() {
        timer.ifPresent(TimerService.Subscription::cancel);
        return release();
    }

    /** Returns whether an order may be sent now to an engine that checks fencing numbers. */
    public boolean mayAct() {
        return !verificationPending && isUnexpired();
    }

    /** Returns whether an order may be sent now to an engine that may ignore fencing numbers. */
    public boolean mayActUnfenced() {
        boolean flightTimeElapsed = heldLease
                .map(lease -> lease.mayActUnfenced(dependencies.timers().nanoTime()))
                .orElse(false);
        return !verificationPending && flightTimeElapsed;
    }

    /**
     * Writes the journal, conditional on the lease.
     *
     * @return whether the journal is known to be stored; completes on the control thread and never fails
     */
    public Uni<Boolean> write(OrderJournal newJournal) {
        if (busy || !mayAct()) {
            return Uni.createFrom().item(false);
        }
        return writeLease(newJournal);
    }

    /** Returns the journal as last confirmed to be stored under the current lease. */
    OrderJournal journal() {
        return journal;
    }

    /**
     * Suspends sending until the lease has been read back. Called when an engine reports that it has received a higher
     * fencing number.
     */
    public void requireVerification() {
        verificationPending = heldLease.isPresent();
    }

    private void tick() {
        if (heldLease.isPresent() && !isUnexpired()) {
            drop("expired");
        }
        if (busy) {
            return;
        }
        if (heldLease.isPresent()) {
            maintain();
        } else if (isCandidate() && isReadDue()) {
            readAndAcquire();
        }
    }

    private void maintain() {
        if (dependencies.blackboard().read(Sections.STOPPING) || !hasPlacements()) {
            release().subscribe().with(ignored -> {});
        } else if (verificationPending) {
            verify();
        } else if (heldLease.get().isRenewalDue(dependencies.timers().nanoTime())) {
            writeLease(journal).subscribe().with(ignored -> {});
        }
    }

    private boolean isUnexpired() {
        return heldLease
                .map(lease -> lease.mayAct(dependencies.timers().nanoTime()))
                .orElse(false);
    }

    private boolean hasPlacements() {
        return dependencies
                .blackboard()
                .read(Sections.SHEET)
                .map(published -> published.sheet().placements().stream()
                        .anyMatch(placement -> placement.dataCentre().equals(dataCentre)))
                .orElse(false);
    }

    private boolean isCandidate() {
        if (dependencies.blackboard().read(Sections.STOPPING) || !hasPlacements()) {
            return false;
        }
        Members members = dependencies.blackboard().read(Sections.MEMBERS);
        List<String> eligible = members.eligible().stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(Member::nodeId)
                .toList();
        return RendezvousHash.top(
                        HASH_KEY_PREFIX + dataCentre,
                        eligible,
                        dependencies.settings().candidates())
                .contains(nodeId);
    }

    private boolean isReadDue() {
        long since = dependencies.timers().nanoTime() - lastReadNanos;
        return !hasRead || since >= dependencies.settings().standbyReadPeriod().toNanos();
    }

    private void readAndAcquire() {
        busy = true;
        hasRead = true;
        lastReadNanos = dependencies.timers().nanoTime();
        read().emitOn(dependencies.loop())
                .flatMap(this::acquireIfFree)
                .emitOn(dependencies.loop())
                .subscribe()
                .with(ignored -> busy = false, failure -> {
                    busy = false;
                    LOGGER.atFine().log("event=lease_not_taken reason=%s", failure.getMessage());
                });
    }

    private Uni<Void> acquireIfFree(StoredObject object) {
        LeaseObject current = LeaseObject.read(object.spec());
        long now = dependencies.timers().nanoTime();
        LeaseObservation observation = lastObservation
                .map(previous -> previous.withRead(object.resourceVersion(), current.lease(), now))
                .orElseGet(() -> LeaseObservation.first(object.resourceVersion(), current.lease(), now));
        lastObservation = Optional.of(observation);
        if (!observation.mayAcquire(now, dependencies.settings().lease())) {
            return Uni.createFrom().voidItem();
        }
        LeaseRecord lease = current.lease().acquiredBy(holderId);
        StoredObject updated =
                object.withSpec(LeaseObject.of(lease, current.journal()).write());
        long sentAt = dependencies.timers().nanoTime();
        return put(updated)
                .emitOn(dependencies.loop())
                .invoke(written -> onAcquired(written, lease.fencing(), sentAt, current.journal()))
                .replaceWithVoid();
    }

    private void onAcquired(StoredObject object, long fencing, long sentAt, OrderJournal inheritedJournal) {
        heldLease = Optional.of(
                HeldLease.acquired(fencing, sentAt, dependencies.settings().lease()));
        storedObject = Optional.of(object);
        journal = inheritedJournal;
        verificationPending = false;
        lastObservation = Optional.empty();
        recordChange("taken", fencing);
        dependencies.blackboard().write(Sections.ORDER_LEASE, Optional.of(new OrderLease(fencing, inheritedJournal)));
    }

    private Uni<Boolean> writeLease(OrderJournal newJournal) {
        HeldLease lease = heldLease.get();
        StoredObject previous = storedObject.get();
        LeaseRecord record = new LeaseRecord(holderId, lease.fencing());
        long sentAt = dependencies.timers().nanoTime();
        busy = true;
        return put(previous.withSpec(LeaseObject.of(record, newJournal).write()))
                .emitOn(dependencies.loop())
                .map(object -> onWritten(lease, object, newJournal, sentAt))
                .onFailure()
                .recoverWithItem(this::onWriteFailed);
    }

    private boolean onWritten(HeldLease lease, StoredObject object, OrderJournal newJournal, long sentAt) {
        busy = false;
        if (!isHeld(lease.fencing())) {
            return false;
        }
        heldLease = heldLease.map(current -> current.renewed(sentAt));
        storedObject = Optional.of(object);
        journal = newJournal;
        return true;
    }

    /**
     * Handles a failed write. The write may have taken effect, or another node may hold the lease; unless the platform
     * was unreachable, the next tick reads the lease to find out.
     */
    private boolean onWriteFailed(Throwable failure) {
        busy = false;
        verificationPending = !hasCode(failure, ResultCode.PLATFORM_UNAVAILABLE);
        LOGGER.atInfo().log("event=lease_write_failed reason=%s", failure.getMessage());
        return false;
    }

    private void verify() {
        busy = true;
        long fencing = heldLease.get().fencing();
        read().emitOn(dependencies.loop())
                .subscribe()
                .with(object -> onVerified(object, fencing), failure -> busy = false);
    }

    private void onVerified(StoredObject object, long fencing) {
        busy = false;
        LeaseObject current = LeaseObject.read(object.spec());
        if (!isHeld(fencing)) {
            return;
        }
        if (!current.holder().equals(holderId) || current.fencing() != fencing) {
            drop("taken by another");
            return;
        }
        storedObject = Optional.of(object);
        journal = current.journal();
        verificationPending = false;
    }

    private Uni<Void> release() {
        if (heldLease.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        long fencing = heldLease.get().fencing();
        StoredObject previous = storedObject.get();
        boolean mayWrite = mayAct() && !busy;
        OrderJournal lastJournal = journal;
        drop("released");
        if (!mayWrite) {
            return Uni.createFrom().voidItem();
        }
        LeaseRecord record = new LeaseRecord(holderId, fencing).released();
        return put(previous.withSpec(LeaseObject.of(record, lastJournal).write()))
                .replaceWithVoid()
                .onFailure()
                .recoverWithNull();
    }

    private void drop(String reason) {
        heldLease.ifPresent(lease -> recordChange(reason, lease.fencing()));
        heldLease = Optional.empty();
        storedObject = Optional.empty();
        lastObservation = Optional.empty();
        verificationPending = false;
        dependencies.blackboard().write(Sections.ORDER_LEASE, Optional.empty());
    }

    private boolean isHeld(long fencing) {
        return heldLease.map(lease -> lease.fencing() == fencing).orElse(false);
    }

    private Uni<StoredObject> read() {
        dependencies.metrics().counter("orders.lease-reads").inc();
        StoredObject unheld = StoredObject.create(
                ObjectKinds.LEASES, dataCentre, LeaseObject.free().write());
        return dependencies
                .store()
                .read(ObjectKinds.LEASES, dataCentre)
                .onFailure(failure -> hasCode(failure, ResultCode.NOT_FOUND))
                .recoverWithItem(unheld);
    }

    private Uni<StoredObject> put(StoredObject object) {
        dependencies.metrics().counter("orders.lease-writes").inc();
        return object.resourceVersion().isEmpty()
                ? dependencies.store().create(object)
                : dependencies.store().update(object);
    }

    private void recordChange(String change, long fencing) {
        dependencies
                .timeline()
                .record(
                        EventType.LEASE_CHANGED,
                        EventFields.of(EventField.CHANGE, change)
                                .with(EventField.HOLDER, nodeId)
                                .with(EventField.FENCING, fencing));
    }

    private static boolean hasCode(Throwable failure, ResultCode code) {
        return failure instanceof BaobabcartException exception && exception.code() == code;
    }
}
