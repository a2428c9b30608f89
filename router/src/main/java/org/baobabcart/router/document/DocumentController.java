package org.baobabcart.router.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.document.GenerationRegister;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.DocumentVersion;

/**
 * Holds one document in force and never lets it go back to a lower generation.
 *
 * <p>New generations come from the platform, by the watch that a few routers of each data centre hold and by a slow
 * direct read, and from peers whose generation is higher. Confined to the control thread. A document that cannot be read
 * is logged and the one in force stays.
 *
 * @param <T> the immutable type of the document
 */
public final class DocumentController<T> implements Controller, ReplicatedDocument {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final DocumentKind<T> kind;
    private final DocumentDependencies parts;
    private final Consumer<T> apply;
    private final WatchKeeper watch;
    private GenerationRegister<T> register = GenerationRegister.empty();
    private byte[] content = new byte[0];
    private DocumentSource source = DocumentSource.NONE;
    private OptionalLong confirmedAtNanos = OptionalLong.empty();
    private Optional<TimerService.Subscription> directRead = Optional.empty();
    private boolean fetching;

    private DocumentController(DocumentKind<T> kind, DocumentDependencies parts, Consumer<T> apply) {
        this.kind = kind;
        this.parts = parts;
        this.apply = apply;
        this.watch = WatchKeeper.create(kind.platformKind(), kind.objectName(), parts, this::found, this::missing);
    }

    /** A controller that calls {@code apply} on the control thread for each document put in force. */
    public static <T> DocumentController<T> create(
            DocumentKind<T> kind, DocumentDependencies parts, Consumer<T> apply) {
        return new DocumentController<>(kind, parts, apply);
    }

    @Override
    public void start() {
        readDirectly();
        scheduleDirectRead();
        watch.start();
    }

    @Override
    public Uni<Void> stop() {
        watch.stop();
        directRead.ifPresent(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    @Override
    public String name() {
        return kind.name();
    }

    /** The document in force. */
    public Optional<T> current() {
        return register.content();
    }

    /** Where the document in force came from. */
    public DocumentSource source() {
        return source;
    }

    /** When the platform was last seen to hold the document in force, by the timer service's monotonic time. */
    public OptionalLong confirmedAtNanos() {
        return confirmedAtNanos;
    }

    /** Puts a document in force that this node itself has just written to the platform. */
    public void applyWritten(StoredObject object) {
        found(object);
    }

    @Override
    public DocumentVersion version() {
        return new DocumentVersion(kind.name(), register.generation());
    }

    @Override
    public void onPeerVersion(DocumentVersion version, String peerAddress) {
        if (fetching || version.getGeneration() <= register.generation()) {
            return;
        }
        fetching = true;
        DocumentRequest request = new DocumentRequest(kind.name(), register.generation());
        parts.peers()
                .fetchDocument(peerAddress, request, parts.settings().fetchTimeout())
                .emitOn(parts.loop())
                .subscribe()
                .with(this::fetched, this::fetchFailed);
    }

    /** The document for a peer that has a lower generation; empty otherwise. */
    @Override
    public DocumentReply reply(DocumentRequest request) {
        boolean newer = register.generation() > request.getHaveGeneration();
        byte[] sent = newer ? content : new byte[0];
        return new DocumentReply(kind.name(), register.generation(), 0, java.nio.ByteBuffer.wrap(sent));
    }

    private void fetched(DocumentReply reply) {
        fetching = false;
        if (reply.getContent().length > 0) {
            offer(DocumentCodec.decode(reply.getContent()), DocumentSource.PEER);
        }
    }

    private void fetchFailed(Throwable failure) {
        fetching = false;
        LOGGER.atFine().withCause(failure).log("event=document_fetch_failed document=%s", kind.name());
    }

    private void readDirectly() {
        parts.store()
                .read(kind.platformKind(), kind.objectName())
                .emitOn(parts.loop())
                .subscribe()
                .with(this::found, this::readFailed);
    }

    private void scheduleDirectRead() {
        long period = parts.settings().directReadPeriod().toMillis();
        long delay = period / 2 + parts.random().nextLong(Math.max(1, period));
        String name = "document-backstop-" + kind.name();
        directRead = Optional.of(parts.timers().after(name, java.time.Duration.ofMillis(delay), () -> {
            readDirectly();
            scheduleDirectRead();
        }));
    }

    private void readFailed(Throwable failure) {
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND) {
            missing();
        }
    }

    private void found(StoredObject object) {
        offer(object.spec(), DocumentSource.PLATFORM);
    }

    /** Creates the first document; whoever loses the race reads the winner's. */
    private void missing() {
        if (kind.first().isEmpty() || register.content().isPresent()) {
            return;
        }
        JsonNode specification = kind.writer().apply(kind.first().get().get());
        parts.store()
                .create(StoredObject.create(kind.platformKind(), kind.objectName(), specification))
                .emitOn(parts.loop())
                .subscribe()
                .with(this::found, ignored -> readDirectly());
    }

    private void offer(JsonNode specification, DocumentSource from) {
        try {
            T document = kind.reader().apply(specification);
            long generation = kind.generation().applyAsLong(document);
            GenerationRegister<T> offered = register.offer(generation, document);
            if (offered != register) {
                putInForce(offered, specification, from);
            }
            if (from == DocumentSource.PLATFORM && generation == register.generation()) {
                confirmedAtNanos = OptionalLong.of(parts.timers().nanoTime());
            }
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("event=document_refused document=%s", kind.name());
        }
    }

    private void putInForce(GenerationRegister<T> offered, JsonNode specification, DocumentSource from) {
        T document = offered.content().orElseThrow();
        content = DocumentCodec.encode(specification);
        register = offered;
        source = from;
        confirmedAtNanos = OptionalLong.empty();
        apply.accept(document);
        EventFields fields = kind.describe().apply(document).with(EventField.SOURCE, from);
        parts.timeline().record(kind.applied(), fields);
        LOGGER.atInfo().log("event=document_applied document=%s %s", kind.name(), fields);
        parts.gossipSoon().run();
    }
}
