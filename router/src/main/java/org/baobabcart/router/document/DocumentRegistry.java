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
 * Registry of the replicated documents of this node. Announces their versions in every exchange, fetches newer ones
 * from peers and serves its own. Confined to the control thread except for {@link #fetchDocument}, which any thread may
 * call.
 */
public final class DocumentRegistry implements DocumentHandler, ExchangeParticipant {
    private final Executor loop;
    private final Map<String, ReplicatedDocument> documents = new LinkedHashMap<>();

    private DocumentRegistry(Executor loop) {
        this.loop = loop;
    }

    /** Creates a registry without documents. */
    public static DocumentRegistry create(Executor loop) {
        return new DocumentRegistry(loop);
    }

    /** Registers a document. Must be called before the start. */
    public void add(ReplicatedDocument document) {
        documents.put(document.name(), document);
    }

    @Override
    public void contribute(Exchange outgoing) {
        documents.values().forEach(document -> outgoing.addToDocuments(document.version()));
    }

    @Override
    public void received(Exchange incoming, String peerAddress) {
        for (DocumentVersion version : incoming.getDocuments()) {
            ReplicatedDocument document = documents.get(version.getDocument());
            if (document != null) {
                document.onPeerVersion(version, peerAddress);
            }
        }
    }

    @Override
    public Uni<DocumentReply> fetchDocument(DocumentRequest request) {
        return Uni.createFrom().item(() -> reply(request)).runSubscriptionOn(loop);
    }

    private DocumentReply reply(DocumentRequest request) {
        ReplicatedDocument document = documents.get(request.getDocument());
        if (document == null) {
            return new DocumentReply(request.getDocument(), 0, 0, ByteBuffer.allocate(0));
        }
        return document.reply(request);
    }
}
