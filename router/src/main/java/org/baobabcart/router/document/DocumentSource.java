package org.baobabcart.router.document;

/** Where the document in force came from. */
public enum DocumentSource {
    /** No document has been seen yet. */
    NONE,
    /** A watch or a direct read. */
    PLATFORM,
    /** Another router. */
    PEER
}
