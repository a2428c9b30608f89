package org.baobabcart.router.document;

import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.DocumentVersion;

/** Something that every router holds and takes from its peers where theirs is newer. Confined to the control thread. */
public interface ReplicatedDocument {
    /** The name between peers. */
    String name();

    /** The version that peers are told. */
    DocumentVersion version();

    /**
     * Takes in the version that a peer holds, and fetches it if it is newer.
     *
     * @param peerAddress {@code host:port} of the peer
     */
    void onPeerVersion(DocumentVersion version, String peerAddress);

    /** What a peer lacks. */
    DocumentReply reply(DocumentRequest request);
}
