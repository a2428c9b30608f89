package org.baobabcart.router.upstream;

/** The connections on which a request may be sent. */
public enum ConnectionChoice {
    /** An idle connection that has carried other requests, or a new one if there is none. */
    KEPT_OR_NEW,
    /** A connection that has carried no other request. */
    NEW;

    /** Returns the choice that is no wider than this one and fits the request. */
    ConnectionChoice narrowedFor(UpstreamRequest request) {
        return request.repeatable() ? this : NEW;
    }
}
