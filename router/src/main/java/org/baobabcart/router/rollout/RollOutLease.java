package org.baobabcart.router.rollout;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.lease.HeldLease;
import org.baobabcart.policy.lease.LeaseObservation;
import org.baobabcart.policy.lease.LeaseRecord;
import org.baobabcart.policy.lease.LeaseTerms;

/**
 * The lease on the control of roll-outs, by which a router that its peers can't reach shows through the platform that it
 * still controls. It only decides who tries; the fence is the conditional update of the roll-outs' state. Confined to the
 * control thread.
 */
final class RollOutLease {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String NAME = "roll-outs";

    private final RollOutParts parts;
    private final LeaseTerms terms;
    private final String nodeId;
    private Optional<HeldLease> held = Optional.empty();
    private Optional<LeaseObservation> seen = Optional.empty();
    private StoredObject stored = fresh();
    private boolean busy;

    private RollOutLease(RollOutParts parts, String nodeId) {
        this.parts = parts;
        this.terms = parts.settings().lease();
        this.nodeId = nodeId;
    }

    /** A lease that this node does not hold. */
    static RollOutLease create(RollOutParts parts, String nodeId) {
        return new RollOutLease(parts, nodeId);
    }

    /** Whether this node holds the lease now. */
    boolean isHeld() {
        return held.filter(lease -> lease.mayAct(now())).isPresent();
    }

    /** Takes the lease once it is free, and renews it in time; called again and again while the lease is wanted. */
    void want() {
        if (busy) {
            return;
        }
        if (!isHeld()) {
            held = Optional.empty();
            run(read().flatMap(this::takeIfFree));
        } else if (held.filter(lease -> lease.isRenewalDue(now())).isPresent()) {
            run(renew());
        }
    }

    /** Forgets what was seen, and gives the lease back if this node holds it. */
    Uni<Void> giveBack() {
        seen = Optional.empty();
        if (held.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        held = Optional.empty();
        return write(record(stored).released())
                .replaceWithVoid()
                .onFailure()
                .invoke(RollOutLease::logFailure)
                .onFailure()
                .recoverWithNull();
    }

    private void run(Uni<Void> step) {
        busy = true;
        step.emitOn(parts.loop()).subscribe().with(ignored -> busy = false, failure -> {
            busy = false;
            held = Optional.empty();
            logFailure(failure);
        });
    }

    private Uni<StoredObject> read() {
        return parts.store()
                .read(Kinds.LEASES, NAME)
                .onFailure(RollOutLease::isMissing)
                .recoverWithItem(RollOutLease::fresh)
                .emitOn(parts.loop());
    }

    private Uni<Void> takeIfFree(StoredObject object) {
        stored = object;
        LeaseRecord record = record(object);
        LeaseObservation observation = seen.map(before -> before.withRead(object.resourceVersion(), record, now()))
                .orElseGet(() -> LeaseObservation.first(object.resourceVersion(), record, now()));
        seen = Optional.of(observation);
        if (!record.holder().equals(nodeId) && !observation.mayAcquire(now(), terms)) {
            return Uni.createFrom().voidItem();
        }
        LeaseRecord taken = record.acquiredBy(nodeId);
        long sent = now();
        return write(taken)
                .invoke(() -> held = Optional.of(HeldLease.acquired(taken.fencing(), sent, terms)))
                .replaceWithVoid();
    }

    private Uni<Void> renew() {
        long sent = now();
        return write(record(stored))
                .invoke(() -> held = held.map(lease -> lease.renewed(sent)))
                .replaceWithVoid();
    }

    private Uni<StoredObject> write(LeaseRecord record) {
        StoredObject changed = stored.withSpec(MAPPER.valueToTree(record));
        Uni<StoredObject> written = stored.resourceVersion().isEmpty()
                ? parts.store().create(changed)
                : parts.store().update(changed);
        return written.emitOn(parts.loop()).invoke(object -> stored = object);
    }

    private long now() {
        return parts.timers().nanoTime();
    }

    private static StoredObject fresh() {
        return StoredObject.fresh(Kinds.LEASES, NAME, MAPPER.valueToTree(LeaseRecord.free()));
    }

    private static LeaseRecord record(StoredObject object) {
        try {
            return MAPPER.treeToValue(object.spec(), LeaseRecord.class);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL, "the lease on roll-outs cannot be read")
                    .withCause(exception);
        }
    }

    private static boolean isMissing(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private static void logFailure(Throwable failure) {
        LOGGER.atInfo().log("event=roll_out_lease_failed reason=%s", failure.getMessage());
    }
}
