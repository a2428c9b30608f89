package org.baobabcart.router.exchange;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Reads request bodies within a size and a time. */
public final class BodyReader {
    private BodyReader() {}

    /** The whole body, or {@code BODY_TOO_LARGE} or {@code REQUEST_TIMEOUT}, after which the connection is unusable. */
    public static Future<Buffer> read(Vertx vertx, HttpServerRequest request, int limitBytes, Duration timeout) {
        Promise<Buffer> result = Promise.promise();
        Buffer whole = Buffer.buffer();
        long timer = vertx.setTimer(
                timeout.toMillis(), ignored -> result.tryFail(BaobabcartException.of(ResultCode.REQUEST_TIMEOUT)));
        request.exceptionHandler(
                cause -> result.tryFail(BaobabcartException.of(ResultCode.BAD_REQUEST, "the body broke off")));
        request.handler(part -> {
            if (whole.length() + part.length() > limitBytes) {
                result.tryFail(BaobabcartException.of(ResultCode.BODY_TOO_LARGE, "at most " + limitBytes + " bytes"));
            } else {
                whole.appendBuffer(part);
            }
        });
        request.endHandler(ignored -> result.tryComplete(whole));
        return result.future().onComplete(ignored -> vertx.cancelTimer(timer));
    }
}
