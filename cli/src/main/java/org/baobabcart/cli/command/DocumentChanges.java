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
 * Changes documents in the platform for commands, by the publishers that routers use, and waits for the outcome. Writes are
 * conditional, and one whose answer was lost is settled by reading back its id. Thread-safe.
 */
public final class DocumentChanges {
    private static final SecureRandom RANDOM = new SecureRandom();

    private final ObjectStore store;

    private DocumentChanges(ObjectStore store) {
        this.store = store;
    }

    /** Changes in this platform. */
    public static DocumentChanges in(ObjectStore store) {
        return new DocumentChanges(store);
    }

    /** Publishes a sheet that reinstates nothing; see {@link #publish(Sheet, String, Set)}. */
    public PublishedSheet publish(Sheet sheet, String publishedBy) {
        return publish(sheet, publishedBy, Set.of());
    }

    /**
     * Publishes a sheet and returns it as it stands in the platform, with the withdrawals that it had to keep.
     *
     * @param reinstated withdrawals of the sheet in force that this one may leave out
     * @throws BaobabcartException with {@link ResultCode#CONFLICT} where another operator was faster
     */
    public PublishedSheet publish(Sheet sheet, String publishedBy, Set<Withdrawal> reinstated) {
        PublishRequest request = PublishRequest.of(sheet, publishedBy).withReinstated(reinstated);
        return settled(timers ->
                SheetPublisher.create(store, timers, PublishSettings.defaults()).publish(request));
    }

    /**
     * Applies a change to the state of roll-outs that stands when it is written.
     *
     * @param change gets the state and the id of the write, and returns the next state
     */
    RollOutState changeRollOuts(BiFunction<RollOutState, String, RollOutState> change) {
        return settled(timers -> DocumentPublisher.create(
                        SheetDocuments.rollOuts(), RollOutState::writeId, store, timers, PublishSettings.defaults())
                .publishWithRebase(found -> change.apply(found.orElse(RollOutState.empty()), RequestIds.next())));
    }

    /** Puts a new key in front of those that sign session tokens. */
    SessionSecrets rotateSessionKeys() {
        return settled(timers -> DocumentPublisher.create(
                        SessionSecretDocument.kind(),
                        SessionSecrets::newestId,
                        store,
                        timers,
                        PublishSettings.defaults())
                .publish(found -> found.orElse(SessionSecrets.empty()).rotated(RANDOM)));
    }

    private static <T> T settled(Function<TimerService, Uni<PublishResult<T>>> publish) {
        try (ControlLoop loop = ControlLoop.create("publish")) {
            PublishResult<T> publication = PlatformObjects.await(publish.apply(SystemTimerService.on(loop)));
            if (!publication.accepted()) {
                throw BaobabcartException.of(ResultCode.CONFLICT, "another operator was faster; nothing was changed");
            }
            return publication.document();
        }
    }
}
