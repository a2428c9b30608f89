package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;

/** Handles document fetches by other routers. Implementations are thread-safe. */
public interface DocumentHandler {
    /** Returns a newer document, or a reply without content if there is none. */
    Uni<DocumentReply> fetchDocument(DocumentRequest request);
}
