package org.baobabcart.router.exchange;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Reads request bodies with a size limit and a timeout. */
public final class BodyReader {
    private BodyReader() {}

    /**
     * Reads the whole body. Fails with {@code BODY_TOO_LARGE}, {@code REQUEST_TIMEOUT} or {@code BAD_REQUEST}, after which the
     * connection cannot be reused.
     */
    public static Future<Buffer> read(Vertx vertx, HttpServerRequest request, int limitBytes, Duration timeout) {
        Promise<Buffer> result = Promise.promise();
        Buffer body = Buffer.buffer();
        long timer = vertx.setTimer(
                timeout.toMillis(), ignored -> result.tryFail(BaobabcartException.of(ResultCode.REQUEST_TIMEOUT)));
        request.exceptionHandler(
                cause -> result.tryFail(BaobabcartException.of(ResultCode.BAD_REQUEST, "the body is incomplete")));
        request.handler(chunk -> {
            if (body.length() + chunk.length() > limitBytes) {
                result.tryFail(BaobabcartException.of(ResultCode.BODY_TOO_LARGE, "at most " + limitBytes + " bytes"));
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ignored -> result.tryComplete(body));
        return result.future().onComplete(ignored -> vertx.cancelTimer(timer));
    }
}
