package org.baobabcart.router.document;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.function.Function;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.document.PublishOutcome;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Publishes a document by conditional update against the version that was read. Thread-safe.
 *
 * <p>A lost answer is settled by reading back the id of the write; only a write that surely did not take effect, or whose
 * repeat is conditional on the same version, is sent again.
 *
 * @param <T> the immutable type of the document
 */
public final class DocumentPublisher<T> {
    private final DocumentKind<T> kind;
    private final Function<T, String> writeId;
    private final ObjectStore store;
    private final TimerService timers;
    private final PublishSettings settings;

    private DocumentPublisher(
            DocumentKind<T> kind,
            Function<T, String> writeId,
            ObjectStore store,
            TimerService timers,
            PublishSettings settings) {
        this.kind = kind;
        this.writeId = writeId;
        this.store = store;
        this.timers = timers;
        this.settings = settings;
    }

    /**
     * A publisher of one kind of document.
     *
     * @param writeId the id of the write that made a document
     */
    public static <T> DocumentPublisher<T> create(
            DocumentKind<T> kind,
            Function<T, String> writeId,
            ObjectStore store,
            TimerService timers,
            PublishSettings settings) {
        return new DocumentPublisher<>(kind, writeId, store, timers, settings);
    }

    /** Reads the document that stands in the platform, if there is one. */
    public Uni<Optional<T>> current() {
        return read().map(stored -> stored.map(this::document));
    }

    /**
     * Publishes once; whoever has published in between wins.
     *
     * <p>Fails with {@code PLATFORM_UNAVAILABLE} where the document was surely not accepted and with {@code
     * WRITE_OUTCOME_UNKNOWN} where it could not be read back.
     *
     * @param change makes the document, with a new id and the next generation, from the one that was read
     */
    public Uni<PublishResult<T>> publish(Function<Optional<T>, T> change) {
        return readFirst(1).flatMap(found -> write(draft(found, change), 1));
    }

    /** Publishes a change that is made again from the winner's document whenever another publisher was faster. */
    public Uni<PublishResult<T>> publishOver(Function<Optional<T>, T> change) {
        return publishOver(change, 1);
    }

    private Uni<PublishResult<T>> publishOver(Function<Optional<T>, T> change, int attempt) {
        return publish(change)
                .flatMap(publication -> publication.accepted() || attempt >= settings.maxAttempts()
                        ? Uni.createFrom().item(publication)
                        : pause().flatMap(ignored -> publishOver(change, attempt + 1)));
    }

    /** Reads until the platform answers: a read changes nothing, so its repeat is safe. */
    private Uni<Optional<StoredObject>> readFirst(int attempt) {
        return read().onFailure(failure -> isUnavailable(failure) && attempt < settings.maxAttempts())
                .recoverWithUni(() -> pause().flatMap(ignored -> readFirst(attempt + 1)));
    }

    private Draft<T> draft(Optional<StoredObject> found, Function<Optional<T>, T> change) {
        T document = change.apply(found.map(this::document));
        StoredObject written = found.map(object -> object.withSpec(kind.writer().apply(document)))
                .orElseGet(() -> StoredObject.create(
                        kind.platformKind(), kind.objectName(), kind.writer().apply(document)));
        return new Draft<>(document, written, false);
    }

    private Uni<PublishResult<T>> write(Draft<T> draft, int attempt) {
        return send(draft.written())
                .map(ignored -> new PublishResult<>(PublishOutcome.ACCEPTED, draft.document()))
                .onFailure(BaobabcartException.class)
                .recoverWithUni(failure -> afterWrite(draft, failure, attempt));
    }

    private Uni<StoredObject> send(StoredObject written) {
        return written.resourceVersion().isEmpty() ? store.create(written) : store.update(written);
    }

    private Uni<PublishResult<T>> afterWrite(Draft<T> draft, BaobabcartException failure, int attempt) {
        return switch (failure.code()) {
            case CONFLICT -> settle(draft, attempt + 1);
            case WRITE_OUTCOME_UNKNOWN -> later(draft.inDoubt(), attempt, failure);
            case PLATFORM_UNAVAILABLE -> later(draft, attempt, failure);
            default -> Uni.createFrom().failure(failure);
        };
    }

    private Uni<PublishResult<T>> later(Draft<T> draft, int attempt, BaobabcartException failure) {
        if (attempt >= settings.maxAttempts()) {
            return Uni.createFrom().failure(unsettled(draft, failure));
        }
        return pause().flatMap(ignored -> settle(draft, attempt + 1));
    }

    private Uni<PublishResult<T>> settle(Draft<T> draft, int attempt) {
        return read().flatMap(found -> conclude(draft, found, attempt))
                .onFailure(DocumentPublisher::isUnavailable)
                .recoverWithUni(failure -> later(draft, attempt, (BaobabcartException) failure));
    }

    private Uni<PublishResult<T>> conclude(Draft<T> draft, Optional<StoredObject> found, int attempt) {
        Optional<T> standing = found.map(this::document);
        PublishOutcome outcome =
                standing.map(document -> outcome(draft.document(), document)).orElse(PublishOutcome.UNCHANGED);
        if (outcome != PublishOutcome.UNCHANGED) {
            return Uni.createFrom().item(new PublishResult<>(outcome, standing.orElseThrow()));
        }
        if (attempt >= settings.maxAttempts()) {
            return Uni.createFrom().failure(unsettled(draft, BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE)));
        }
        return write(draft, attempt + 1);
    }

    private PublishOutcome outcome(T written, T standing) {
        return PublishOutcome.determine(
                kind.generation().applyAsLong(written),
                writeId.apply(written),
                kind.generation().applyAsLong(standing),
                writeId.apply(standing));
    }

    private BaobabcartException unsettled(Draft<T> draft, BaobabcartException failure) {
        String detail = "write " + writeId.apply(draft.document()) + " could not be settled";
        ResultCode code = draft.doubtful() ? ResultCode.WRITE_OUTCOME_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE;
        return BaobabcartException.of(code, detail).withCause(failure);
    }

    private static boolean isUnavailable(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.PLATFORM_UNAVAILABLE;
    }

    private Uni<Optional<StoredObject>> read() {
        return store.read(kind.platformKind(), kind.objectName())
                .map(Optional::of)
                .onFailure(DocumentPublisher::isMissing)
                .recoverWithItem(Optional.empty());
    }

    private static boolean isMissing(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private T document(StoredObject object) {
        return kind.reader().apply(object.spec());
    }

    private Uni<Void> pause() {
        return Uni.createFrom()
                .emitter(emitter ->
                        timers.after("publish-" + kind.name(), settings.retryDelay(), () -> emitter.complete(null)));
    }

    private record Draft<T>(T document, StoredObject written, boolean doubtful) {
        Draft<T> inDoubt() {
            return new Draft<>(document, written, true);
        }
    }
}
