package org.baobabcart.cli.command;

import java.util.Optional;
import java.util.function.BiFunction;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Changes the roll-out state by conditional updates. A conflict is answered by reading and deciding anew; a write whose
 * answer was lost is settled by reading back its id, never by blind repetition.
 */
final class RollOutEditor {
    private static final int ATTEMPTS = 10;

    private final ObjectStore store;

    private RollOutEditor(ObjectStore store) {
        this.store = store;
    }

    static RollOutEditor of(ObjectStore store) {
        return new RollOutEditor(store);
    }

    /** The state in the platform. */
    RollOutState read() {
        return PlatformObjects.read(store, Kinds.ROLL_OUTS, Kinds.CURRENT)
                .map(RollOutEditor::state)
                .orElse(RollOutState.empty());
    }

    /**
     * Applies a change to the state that stands when it is written.
     *
     * @param change gets the state and the id of the write, and returns the next state
     */
    RollOutState change(BiFunction<RollOutState, String, RollOutState> change) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            String writeId = RequestIds.next();
            Optional<StoredObject> current = PlatformObjects.read(store, Kinds.ROLL_OUTS, Kinds.CURRENT);
            RollOutState before = current.map(RollOutEditor::state).orElse(RollOutState.empty());
            RollOutState after = change.apply(before, writeId);
            if (write(current, after)) {
                return after;
            }
        }
        throw BaobabcartException.of(
                ResultCode.CONFLICT, "the roll-out state changed " + ATTEMPTS + " times meanwhile");
    }

    private boolean write(Optional<StoredObject> current, RollOutState after) {
        try {
            if (current.isPresent()) {
                PlatformObjects.await(store.update(current.get().withSpec(PlatformObjects.tree(after))));
            } else {
                PlatformObjects.await(
                        store.create(StoredObject.fresh(Kinds.ROLL_OUTS, Kinds.CURRENT, PlatformObjects.tree(after))));
            }
            return true;
        } catch (BaobabcartException exception) {
            if (exception.code() == ResultCode.CONFLICT) {
                return false;
            }
            if (exception.code() == ResultCode.WRITE_OUTCOME_UNKNOWN) {
                return read().writeId().equals(after.writeId());
            }
            throw exception;
        }
    }

    private static RollOutState state(StoredObject object) {
        return PlatformObjects.convert(object.spec(), RollOutState.class);
    }
}
