package org.baobabcart.cli.command;

import io.smallrye.mutiny.Uni;
import java.security.SecureRandom;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.router.control.ControlLoop;
import org.baobabcart.router.control.SystemTimerService;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.document.DocumentPublisher;
import org.baobabcart.router.document.PublishResult;
import org.baobabcart.router.document.PublishSettings;
import org.baobabcart.router.key.SessionSecretDocument;
import org.baobabcart.router.key.SessionSecrets;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.sheet.PublishRequest;
import org.baobabcart.router.sheet.SheetDocuments;
import org.baobabcart.router.sheet.SheetPublisher;

/**
 * Changes documents in the platform with the same publishers that routers use, and waits for the result. Writes are
 * conditional; after a write whose response was lost, the id of the stored document shows whether the write succeeded.
 * Thread-safe.
 */
public final class DocumentChanges {
    private static final SecureRandom RANDOM = new SecureRandom();

    private final ObjectStore store;

    private DocumentChanges(ObjectStore store) {
        this.store = store;
    }

    /** Creates an instance that changes documents in a store. */
    public static DocumentChanges in(ObjectStore store) {
        return new DocumentChanges(store);
    }

    /** Publishes a sheet without reinstating withdrawn versions; see {@link #publish(Sheet, String, Set)}. */
    public PublishedSheet publish(Sheet sheet, String publishedBy) {
        return publish(sheet, publishedBy, Set.of());
    }

    /**
     * Publishes a sheet and returns it as stored, including the withdrawals that were kept from the previous sheet.
     *
     * @param reinstated the withdrawals of the current sheet that the new sheet may omit
     * @throws BaobabcartException with {@link ResultCode#CONFLICT} if another operator published concurrently
     */
    public PublishedSheet publish(Sheet sheet, String publishedBy, Set<Withdrawal> reinstated) {
        PublishRequest request = PublishRequest.of(sheet, publishedBy).withReinstated(reinstated);
        return publishAndAwait(timers ->
                SheetPublisher.create(store, timers, PublishSettings.defaults()).publish(request));
    }

    /**
     * Applies a change to the current roll-out state, and again to the new state if another writer changes it
     * meanwhile.
     *
     * @param change a function from the current state and the write id to the next state
     */
    RollOutState changeRollOuts(BiFunction<RollOutState, String, RollOutState> change) {
        return publishAndAwait(timers -> DocumentPublisher.create(
                        SheetDocuments.rollOuts(), RollOutState::writeId, store, timers, PublishSettings.defaults())
                .publishWithRebase(found -> change.apply(found.orElse(RollOutState.empty()), RequestIds.next())));
    }

    /** Adds a new key for signing session tokens. */
    SessionSecrets rotateSessionKeys() {
        return publishAndAwait(timers -> DocumentPublisher.create(
                        SessionSecretDocument.kind(),
                        SessionSecrets::newestId,
                        store,
                        timers,
                        PublishSettings.defaults())
                .publish(found -> found.orElse(SessionSecrets.empty()).rotated(RANDOM)));
    }

    private static <T> T publishAndAwait(Function<TimerService, Uni<PublishResult<T>>> publish) {
        try (ControlLoop loop = ControlLoop.create("publish")) {
            PublishResult<T> result = PlatformObjects.await(publish.apply(SystemTimerService.on(loop)));
            if (!result.accepted()) {
                throw BaobabcartException.of(
                        ResultCode.CONFLICT, "another operator published concurrently; nothing was changed");
            }
            return result.document();
        }
    }
}
