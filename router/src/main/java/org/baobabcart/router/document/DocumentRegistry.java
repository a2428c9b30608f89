package org.baobabcart.router.document;

import io.smallrye.mutiny.Uni;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import org.baobabcart.router.member.ExchangeParticipant;
import org.baobabcart.router.peer.DocumentHandler;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.DocumentVersion;
import org.baobabcart.wire.Exchange;

/**
 * The documents of this node towards its peers: tells their generations in every exchange, fetches newer ones and serves
 * its own. Confined to the control thread but for {@link #fetchDocument}, which any thread may call.
 */
public final class DocumentRegistry implements DocumentHandler, ExchangeParticipant {
    private final Executor loop;
    private final Map<String, DocumentController<?>> controllers = new LinkedHashMap<>();

    private DocumentRegistry(Executor loop) {
        this.loop = loop;
    }

    /** A registry without documents. */
    public static DocumentRegistry create(Executor loop) {
        return new DocumentRegistry(loop);
    }

    /** Adds a document; called before the start. */
    public void add(DocumentController<?> controller) {
        controllers.put(controller.name(), controller);
    }

    @Override
    public void contribute(Exchange outgoing) {
        controllers.values().forEach(controller -> outgoing.addToDocuments(controller.version()));
    }

    @Override
    public void received(Exchange incoming, String peerAddress) {
        for (DocumentVersion version : incoming.getDocuments()) {
            DocumentController<?> controller = controllers.get(version.getDocument());
            if (controller != null) {
                controller.peerHas(version.getGeneration(), peerAddress);
            }
        }
    }

    @Override
    public Uni<DocumentReply> fetchDocument(DocumentRequest request) {
        return Uni.createFrom().item(() -> reply(request)).runSubscriptionOn(loop);
    }

    private DocumentReply reply(DocumentRequest request) {
        DocumentController<?> controller = controllers.get(request.getDocument());
        if (controller == null) {
            return new DocumentReply(request.getDocument(), 0, 0, ByteBuffer.allocate(0));
        }
        return controller.reply(request);
    }
}
