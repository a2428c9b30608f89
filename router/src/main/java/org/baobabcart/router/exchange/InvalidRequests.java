package org.baobabcart.router.exchange;

import io.netty.handler.codec.TooLongFrameException;
import io.vertx.core.http.HttpServerRequest;
import org.baobabcart.model.result.ResultCode;

/** Maps HTTP parse failures to result codes. Stateless. */
public final class InvalidRequests {
    private InvalidRequests() {}

    /** Returns the result code for a request that could not be parsed. */
    public static ResultCode code(HttpServerRequest request) {
        boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
        return tooLong ? ResultCode.HEADERS_TOO_LARGE : ResultCode.BAD_REQUEST;
    }
}
