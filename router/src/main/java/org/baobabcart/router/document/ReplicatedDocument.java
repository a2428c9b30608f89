package org.baobabcart.router.document;

import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.DocumentVersion;

/**
 * Document that every router holds and updates from peers that have a newer version. Confined to the control thread.
 */
public interface ReplicatedDocument {
    /** Returns the name used between peers. */
    String name();

    /** Returns the version announced to peers. */
    DocumentVersion version();

    /**
     * Compares the version announced by a peer with the local one, and fetches the document if the peer's is newer.
     *
     * @param peerAddress {@code host:port} of the peer
     */
    void onPeerVersion(DocumentVersion version, String peerAddress);

    /** Returns the reply to a request for the dependencies of the document that a peer lacks. */
    DocumentReply reply(DocumentRequest request);
}
