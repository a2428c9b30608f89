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
 * Keeps the newest known generation of one replicated document. The generation never decreases.
 *
 * <p>Newer generations come from the platform, through a watch held by a few routers of each data centre and an
 * infrequent direct read by every router, and from peers that have a higher generation. Confined to the control thread.
 * A document that cannot be read is logged and ignored, and the current one stays in force.
 *
 * @param <T> the immutable type of the document
 */
public final class DocumentController<T> implements Controller, ReplicatedDocument {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final DocumentKind<T> kind;
    private final DocumentDependencies dependencies;
    private final Consumer<T> apply;
    private final WatchKeeper watch;
    private GenerationRegister<T> register = GenerationRegister.empty();
    private byte[] content = new byte[0];
    private DocumentSource source = DocumentSource.NONE;
    private OptionalLong confirmedAtNanos = OptionalLong.empty();
    private Optional<TimerService.Subscription> directRead = Optional.empty();
    private boolean fetching;

    private DocumentController(DocumentKind<T> kind, DocumentDependencies dependencies, Consumer<T> apply) {
        this.kind = kind;
        this.dependencies = dependencies;
        this.apply = apply;
        this.watch = WatchKeeper.create(
                kind.platformKind(), kind.objectName(), dependencies, this::onStored, this::onMissing);
    }

    /** Creates a controller that calls {@code apply} on the control thread for each document put in force. */
    public static <T> DocumentController<T> create(
            DocumentKind<T> kind, DocumentDependencies dependencies, Consumer<T> apply) {
        return new DocumentController<>(kind, dependencies, apply);
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

    /** Returns the document in force; empty before the first one. */
    public Optional<T> current() {
        return register.content();
    }

    /** Returns the source of the document in force. */
    public DocumentSource source() {
        return source;
    }

    /**
     * Returns the monotonic time of the timer service at which the platform last returned the generation in force;
     * empty if it has not yet.
     */
    public OptionalLong confirmedAtNanos() {
        return confirmedAtNanos;
    }

    /** Applies a document that this node has just written to the platform. */
    public void applyWritten(StoredObject object) {
        onStored(object);
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
        dependencies
                .peers()
                .fetchDocument(peerAddress, request, dependencies.settings().fetchTimeout())
                .emitOn(dependencies.loop())
                .subscribe()
                .with(this::onFetched, this::onFetchFailed);
    }

    /**
     * Returns a reply with the document in force if the peer has a lower generation, and without content otherwise.
     */
    @Override
    public DocumentReply reply(DocumentRequest request) {
        boolean newer = register.generation() > request.getHaveGeneration();
        byte[] sent = newer ? content : new byte[0];
        return new DocumentReply(kind.name(), register.generation(), 0, java.nio.ByteBuffer.wrap(sent));
    }

    private void onFetched(DocumentReply reply) {
        fetching = false;
        if (reply.getContent().length > 0) {
            offer(DocumentCodec.decode(reply.getContent()), DocumentSource.PEER);
        }
    }

    private void onFetchFailed(Throwable failure) {
        fetching = false;
        LOGGER.atFine().withCause(failure).log("event=document_fetch_failed document=%s", kind.name());
    }

    private void readDirectly() {
        dependencies
                .store()
                .read(kind.platformKind(), kind.objectName())
                .emitOn(dependencies.loop())
                .subscribe()
                .with(this::onStored, this::onReadFailed);
    }

    private void scheduleDirectRead() {
        long period = dependencies.settings().directReadPeriod().toMillis();
        long delay = period / 2 + dependencies.random().nextLong(Math.max(1, period));
        String name = "document-backstop-" + kind.name();
        directRead = Optional.of(dependencies.timers().after(name, java.time.Duration.ofMillis(delay), () -> {
            readDirectly();
            scheduleDirectRead();
        }));
    }

    private void onReadFailed(Throwable failure) {
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND) {
            onMissing();
        }
    }

    private void onStored(StoredObject object) {
        offer(object.spec(), DocumentSource.PLATFORM);
    }

    /** Creates the initial document. If another router creates it first, reads that one. */
    private void onMissing() {
        if (kind.initial().isEmpty() || register.content().isPresent()) {
            return;
        }
        JsonNode specification = kind.writer().apply(kind.initial().get().get());
        dependencies
                .store()
                .create(StoredObject.create(kind.platformKind(), kind.objectName(), specification))
                .emitOn(dependencies.loop())
                .subscribe()
                .with(this::onStored, ignored -> readDirectly());
    }

    private void offer(JsonNode specification, DocumentSource from) {
        try {
            T document = kind.reader().apply(specification);
            long generation = kind.generation().applyAsLong(document);
            GenerationRegister<T> offered = register.offer(generation, document);
            if (offered != register) {
                applyNewer(offered, specification, from);
            }
            if (from == DocumentSource.PLATFORM && generation == register.generation()) {
                confirmedAtNanos = OptionalLong.of(dependencies.timers().nanoTime());
            }
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("event=document_refused document=%s", kind.name());
        }
    }

    private void applyNewer(GenerationRegister<T> offered, JsonNode specification, DocumentSource from) {
        T document = offered.content().orElseThrow();
        content = DocumentCodec.encode(specification);
        register = offered;
        source = from;
        confirmedAtNanos = OptionalLong.empty();
        apply.accept(document);
        EventFields fields = kind.describe().apply(document).with(EventField.SOURCE, from);
        dependencies.timeline().record(kind.appliedEvent(), fields);
        LOGGER.atInfo().log("event=document_applied document=%s %s", kind.name(), fields);
        dependencies.gossipSoon().run();
    }
}
