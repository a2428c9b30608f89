package org.baobabcart.router.exchange;

import io.netty.handler.codec.TooLongFrameException;
import io.vertx.core.http.HttpServerRequest;
import org.baobabcart.model.result.ResultCode;

/** Requests that the parser could not read. Stateless. */
public final class InvalidRequests {
    private InvalidRequests() {}

    /** Why the parser gave the request up. */
    public static ResultCode code(HttpServerRequest request) {
        boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
        return tooLong ? ResultCode.HEADERS_TOO_LARGE : ResultCode.BAD_REQUEST;
    }
}
