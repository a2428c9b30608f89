package org.baobabcart.router.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.lease.HeldLease;
import org.baobabcart.policy.lease.LeaseObservation;
import org.baobabcart.policy.lease.LeaseRecord;
import org.baobabcart.policy.lease.LeaseTerms;

/**
 * The lease of the roll-out controller. Through it, a router that its peers cannot reach shows in the platform that it
 * is still in control. The lease only reduces contention: fencing is done by the conditional update of the roll-out
 * state. Confined to the control thread.
 */
final class RollOutLease {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String NAME = "roll-outs";

    private final RollOutDependencies dependencies;
    private final LeaseTerms terms;
    private final String nodeId;
    private Optional<HeldLease> heldLease = Optional.empty();
    private Optional<LeaseObservation> lastObservation = Optional.empty();
    private StoredObject storedObject = unheldObject();
    private boolean busy;

    private RollOutLease(RollOutDependencies dependencies, String nodeId) {
        this.dependencies = dependencies;
        this.terms = dependencies.settings().lease();
        this.nodeId = nodeId;
    }

    /** Creates a lease that this node does not hold. */
    static RollOutLease create(RollOutDependencies dependencies, String nodeId) {
        return new RollOutLease(dependencies, nodeId);
    }

    /** Returns whether this node currently holds the lease. */
    boolean isHeld() {
        return heldLease.filter(lease -> lease.mayAct(now())).isPresent();
    }

    /**
     * Acquires the lease once it is free and renews it when due. Must be called periodically while the lease is needed.
     */
    void acquireOrRenew() {
        if (busy) {
            return;
        }
        if (!isHeld()) {
            heldLease = Optional.empty();
            execute(read().flatMap(this::acquireIfFree));
        } else if (heldLease.filter(lease -> lease.isRenewalDue(now())).isPresent()) {
            execute(renew());
        }
    }

    /** Discards the last observation of the lease, and releases the lease if this node holds it. */
    Uni<Void> release() {
        lastObservation = Optional.empty();
        if (heldLease.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        heldLease = Optional.empty();
        return write(parse(storedObject).released())
                .replaceWithVoid()
                .onFailure()
                .invoke(RollOutLease::logFailure)
                .onFailure()
                .recoverWithNull();
    }

    private void execute(Uni<Void> step) {
        busy = true;
        step.emitOn(dependencies.loop()).subscribe().with(ignored -> busy = false, failure -> {
            busy = false;
            heldLease = Optional.empty();
            logFailure(failure);
        });
    }

    private Uni<StoredObject> read() {
        return dependencies
                .store()
                .read(ObjectKinds.LEASES, NAME)
                .onFailure(RollOutLease::isNotFound)
                .recoverWithItem(RollOutLease::unheldObject)
                .emitOn(dependencies.loop());
    }

    private Uni<Void> acquireIfFree(StoredObject object) {
        storedObject = object;
        LeaseRecord record = parse(object);
        LeaseObservation observation = lastObservation
                .map(previous -> previous.withRead(object.resourceVersion(), record, now()))
                .orElseGet(() -> LeaseObservation.first(object.resourceVersion(), record, now()));
        lastObservation = Optional.of(observation);
        if (!record.holder().equals(nodeId) && !observation.mayAcquire(now(), terms)) {
            return Uni.createFrom().voidItem();
        }
        LeaseRecord acquired = record.acquiredBy(nodeId);
        long sent = now();
        return write(acquired)
                .invoke(() -> heldLease = Optional.of(HeldLease.acquired(acquired.fencing(), sent, terms)))
                .replaceWithVoid();
    }

    private Uni<Void> renew() {
        long sent = now();
        return write(parse(storedObject))
                .invoke(() -> heldLease = heldLease.map(lease -> lease.renewed(sent)))
                .replaceWithVoid();
    }

    private Uni<StoredObject> write(LeaseRecord record) {
        StoredObject changed = storedObject.withSpec(MAPPER.valueToTree(record));
        Uni<StoredObject> written = storedObject.resourceVersion().isEmpty()
                ? dependencies.store().create(changed)
                : dependencies.store().update(changed);
        return written.emitOn(dependencies.loop()).invoke(object -> storedObject = object);
    }

    private long now() {
        return dependencies.timers().nanoTime();
    }

    private static StoredObject unheldObject() {
        return StoredObject.create(ObjectKinds.LEASES, NAME, MAPPER.valueToTree(LeaseRecord.free()));
    }

    private static LeaseRecord parse(StoredObject object) {
        try {
            return MAPPER.treeToValue(object.spec(), LeaseRecord.class);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL, "the roll-out lease stored in the platform is not valid")
                    .withCause(exception);
        }
    }

    private static boolean isNotFound(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private static void logFailure(Throwable failure) {
        LOGGER.atInfo().log("event=roll_out_lease_failed reason=%s", failure.getMessage());
    }
}
