package org.baobabcart.router.document;

/** Source of the document in force. */
public enum DocumentSource {
    /** No document has been received yet. */
    NONE,
    /** A watch or a direct read of the platform. */
    PLATFORM,
    /** Another router. */
    PEER
}
