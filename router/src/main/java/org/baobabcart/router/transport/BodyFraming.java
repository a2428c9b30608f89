package org.baobabcart.router.transport;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;

/** How the end of a response body is marked, as defined by RFC 9112, section 6.3. */
public enum BodyFraming {
    /** The response has no body. */
    NONE(BodyEnd.NO_BODY),
    /** The body has a declared length. */
    LENGTH(BodyEnd.LENGTH_REACHED),
    /** The body is sent in chunks, and the last one marks the end. */
    CHUNKED(BodyEnd.LAST_CHUNK),
    /** The body ends with its connection. */
    UNTIL_CLOSE(BodyEnd.CLOSED_BY_PEER),
    /** The body has a transfer coding that cannot be decoded. */
    UNSUPPORTED(BodyEnd.UNDECODABLE);

    private static final String CHUNKED_CODING = "chunked";
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private final BodyEnd properEnd;

    BodyFraming(BodyEnd properEnd) {
        this.properEnd = properEnd;
    }

    /** Returns the framing of the response to a request. */
    public static BodyFraming of(HttpMethod method, int status, MultiMap headers) {
        if (HttpMethod.HEAD.equals(method) || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED) {
            return NONE;
        }
        if (headers.contains(HttpHeaders.TRANSFER_ENCODING)) {
            boolean chunked = headers.getAll(HttpHeaders.TRANSFER_ENCODING).size() == 1
                    && headers.get(HttpHeaders.TRANSFER_ENCODING).strip().equalsIgnoreCase(CHUNKED_CODING);
            return chunked ? CHUNKED : UNSUPPORTED;
        }
        return headers.contains(HttpHeaders.CONTENT_LENGTH) ? LENGTH : UNTIL_CLOSE;
    }

    /**
     * Returns how a body ended, once the HTTP client has reported its end. The client reports the end of a body that
     * ends with its connection whoever closed the connection.
     */
    public BodyEnd end(HttpConnection connection) {
        return end(PeerCloseObserver.isClosedByPeer(connection), ResponseBoundary.isRequestWritten(connection));
    }

    /**
     * Returns how a body ended.
     *
     * @param closedByPeer whether the peer has closed its side of the connection in order
     * @param requestWritten whether the request was written in full; a peer that closes a connection with unread bytes on it resets it, which may
     *     show only after the end of its side
     */
    BodyEnd end(boolean closedByPeer, boolean requestWritten) {
        if (this != UNTIL_CLOSE) {
            return properEnd;
        }
        if (!closedByPeer) {
            return BodyEnd.CLOSED_BY_ROUTER;
        }
        return requestWritten ? properEnd : BodyEnd.CLOSED_BEFORE_REQUEST;
    }
}
