package org.baobabcart.router.sheet;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.document.DocumentPublisher;
import org.baobabcart.router.document.PublishResult;
import org.baobabcart.router.document.PublishSettings;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Publishes sheets for operators. Thread-safe.
 *
 * <p>Withdrawals in the current sheet are carried over to a new sheet that omits them, if it still declares the
 * version. Withdrawals decided in the meantime are part of the roll-out state, which publishing does not modify.
 */
public final class SheetPublisher {
    private final DocumentPublisher<PublishedSheet> publisher;
    private final TimerService timers;

    private SheetPublisher(DocumentPublisher<PublishedSheet> publisher, TimerService timers) {
        this.publisher = publisher;
        this.timers = timers;
    }

    /** Creates a publisher for the given store. */
    public static SheetPublisher create(ObjectStore store, TimerService timers, PublishSettings settings) {
        DocumentPublisher<PublishedSheet> publisher =
                DocumentPublisher.create(SheetDocuments.sheet(), PublishedSheet::publishId, store, timers, settings);
        return new SheetPublisher(publisher, timers);
    }

    /** Returns the sheet that is stored in the platform, if any. */
    public Uni<Optional<PublishedSheet>> current() {
        return publisher.current();
    }

    /**
     * Publishes a sheet. If another operator published first, the result names the sheet that was accepted.
     *
     * <p>Fails with {@code PLATFORM_UNAVAILABLE} if the sheet was definitely not accepted, with
     * {@code WRITE_OUTCOME_UNKNOWN} if that could not be determined, and with {@code CONFLICT} if the current
     * generation is not the expected one.
     */
    public Uni<PublishResult<PublishedSheet>> publish(PublishRequest request) {
        String publishId = RequestIds.next();
        return publisher.publish(current -> next(request, publishId, current));
    }

    private PublishedSheet next(PublishRequest request, String publishId, Optional<PublishedSheet> current) {
        long generation = current.map(PublishedSheet::generation).orElse(0L);
        if (request.expectedGeneration().isPresent()
                && request.expectedGeneration().getAsLong() != generation) {
            throw conflict(generation, current);
        }
        Sheet sheet = keepWithdrawals(request, current);
        return new PublishedSheet(generation + 1, publishId, request.publishedBy(), timers.wallClockMillis(), sheet);
    }

    private static BaobabcartException conflict(long generation, Optional<PublishedSheet> current) {
        String publisher = current.map(PublishedSheet::publishedBy).orElse("nobody");
        return BaobabcartException.of(
                ResultCode.CONFLICT, "generation " + generation + " by " + publisher + " is in force");
    }

    private static Sheet keepWithdrawals(PublishRequest request, Optional<PublishedSheet> current) {
        Sheet sheet = request.sheet();
        if (current.isEmpty()) {
            return sheet;
        }
        for (Withdrawal withdrawal : current.get().sheet().withdrawals()) {
            if (!request.reinstated().contains(withdrawal) && declares(sheet, withdrawal)) {
                sheet = sheet.withWithdrawal(withdrawal);
            }
        }
        return sheet;
    }

    private static boolean declares(Sheet sheet, Withdrawal withdrawal) {
        return sheet.model(withdrawal.model())
                .flatMap(model -> model.version(withdrawal.version()))
                .isPresent();
    }
}
