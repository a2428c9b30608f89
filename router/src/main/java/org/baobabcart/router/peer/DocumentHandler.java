package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;

/** Serves documents to other routers. Implementations are thread-safe. */
public interface DocumentHandler {
    /** Answers with a newer document, or an empty one if none is at hand. */
    Uni<DocumentReply> fetchDocument(DocumentRequest request);
}
