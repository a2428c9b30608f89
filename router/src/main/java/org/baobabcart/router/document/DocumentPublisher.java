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
 * Publishes a document by an update that is conditional on the version that was read. Thread-safe.
 *
 * <p>If the response to a write is lost, the outcome is determined by reading the document back and comparing the id of
 * the write. A write is sent again only if it certainly had no effect or if the repetition is conditional on the same
 * version.
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
     * Creates a publisher of one kind of document.
     *
     * @param writeId returns the id of the write that created a document
     */
    public static <T> DocumentPublisher<T> create(
            DocumentKind<T> kind,
            Function<T, String> writeId,
            ObjectStore store,
            TimerService timers,
            PublishSettings settings) {
        return new DocumentPublisher<>(kind, writeId, store, timers, settings);
    }

    /** Reads the current document from the platform; empty if there is none. */
    public Uni<Optional<T>> current() {
        return read().map(found -> found.map(this::document));
    }

    /**
     * Publishes a document. If another publisher has updated it since it was read, that publisher's document stays and
     * is returned.
     *
     * <p>Fails with {@code PLATFORM_UNAVAILABLE} if the document was certainly not accepted, and with {@code
     * WRITE_OUTCOME_UNKNOWN} if it may have been accepted but this could not be determined.
     *
     * @param change creates the new document, with a new id and the next generation, from the one that was read
     */
    public Uni<PublishResult<T>> publish(Function<Optional<T>, T> change) {
        return readWithRetries(1).flatMap(found -> write(draft(found, change), 1));
    }

    /**
     * Publishes a change. Whenever another publisher has updated the document, applies the change again to the new
     * document.
     */
    public Uni<PublishResult<T>> publishWithRebase(Function<Optional<T>, T> change) {
        return publishWithRebase(change, 1);
    }

    private Uni<PublishResult<T>> publishWithRebase(Function<Optional<T>, T> change, int attempt) {
        return publish(change)
                .flatMap(result -> result.accepted() || attempt >= settings.maxAttempts()
                        ? Uni.createFrom().item(result)
                        : delay().flatMap(ignored -> publishWithRebase(change, attempt + 1)));
    }

    /** Retries until the platform responds. A read has no side effect, so repeating it is safe. */
    private Uni<Optional<StoredObject>> readWithRetries(int attempt) {
        return read().onFailure(failure -> isUnavailable(failure) && attempt < settings.maxAttempts())
                .recoverWithUni(() -> delay().flatMap(ignored -> readWithRetries(attempt + 1)));
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
                .recoverWithUni(failure -> onWriteFailed(draft, failure, attempt));
    }

    private Uni<StoredObject> send(StoredObject written) {
        return written.resourceVersion().isEmpty() ? store.create(written) : store.update(written);
    }

    private Uni<PublishResult<T>> onWriteFailed(Draft<T> draft, BaobabcartException failure, int attempt) {
        return switch (failure.code()) {
            case CONFLICT -> readBack(draft, attempt + 1);
            case WRITE_OUTCOME_UNKNOWN -> retryLater(draft.withUnknownOutcome(), attempt, failure);
            case PLATFORM_UNAVAILABLE -> retryLater(draft, attempt, failure);
            default -> Uni.createFrom().failure(failure);
        };
    }

    private Uni<PublishResult<T>> retryLater(Draft<T> draft, int attempt, BaobabcartException failure) {
        if (attempt >= settings.maxAttempts()) {
            return Uni.createFrom().failure(unresolved(draft, failure));
        }
        return delay().flatMap(ignored -> readBack(draft, attempt + 1));
    }

    private Uni<PublishResult<T>> readBack(Draft<T> draft, int attempt) {
        return read().flatMap(found -> resolve(draft, found, attempt))
                .onFailure(DocumentPublisher::isUnavailable)
                .recoverWithUni(failure -> retryLater(draft, attempt, (BaobabcartException) failure));
    }

    private Uni<PublishResult<T>> resolve(Draft<T> draft, Optional<StoredObject> found, int attempt) {
        Optional<T> stored = found.map(this::document);
        PublishOutcome outcome =
                stored.map(document -> outcome(draft.document(), document)).orElse(PublishOutcome.UNCHANGED);
        if (outcome != PublishOutcome.UNCHANGED) {
            return Uni.createFrom().item(new PublishResult<>(outcome, stored.orElseThrow()));
        }
        if (attempt >= settings.maxAttempts()) {
            return Uni.createFrom().failure(unresolved(draft, BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE)));
        }
        return write(draft, attempt + 1);
    }

    private PublishOutcome outcome(T written, T stored) {
        return PublishOutcome.determine(
                kind.generation().applyAsLong(written),
                writeId.apply(written),
                kind.generation().applyAsLong(stored),
                writeId.apply(stored));
    }

    private BaobabcartException unresolved(Draft<T> draft, BaobabcartException failure) {
        String detail = "write " + writeId.apply(draft.document()) + " has no confirmed outcome";
        ResultCode code =
                draft.mayHaveTakenEffect() ? ResultCode.WRITE_OUTCOME_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE;
        return BaobabcartException.of(code, detail).withCause(failure);
    }

    private static boolean isUnavailable(Throwable failure) {
        return failure instanceof BaobabcartException exception
                && (exception.code() == ResultCode.PLATFORM_UNAVAILABLE
                        || exception.code() == ResultCode.RESPONSE_UNREADABLE);
    }

    private Uni<Optional<StoredObject>> read() {
        return store.read(kind.platformKind(), kind.objectName())
                .map(Optional::of)
                .onFailure(DocumentPublisher::isNotFound)
                .recoverWithItem(Optional.empty());
    }

    private static boolean isNotFound(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private T document(StoredObject object) {
        return kind.reader().apply(object.spec());
    }

    private Uni<Void> delay() {
        return Uni.createFrom()
                .emitter(emitter ->
                        timers.after("publish-" + kind.name(), settings.retryDelay(), () -> emitter.complete(null)));
    }

    private record Draft<T>(T document, StoredObject written, boolean mayHaveTakenEffect) {
        Draft<T> withUnknownOutcome() {
            return new Draft<>(document, written, true);
        }
    }
}
