package org.baobabcart.router.exchange;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.transport.EventLoopTimers;

/**
 * Reads request bodies with a size limit and a timeout, within a budget for all of them. A body whose memory is not
 * available is not read until it is, so that its bytes stay with the caller. Thread-safe.
 */
public final class BodyReader {
    /** The first reservation for a body in chunks, whose size is not known; larger than most. */
    private static final int CHUNKED_BYTES = 16 * 1024;
    /** Callers give up on a request that is not read within a second. */
    private static final Duration MAX_WAIT = Duration.ofMillis(800);

    private final Vertx vertx;
    private final BodyBudget budget;

    private BodyReader(Vertx vertx, BodyBudget budget) {
        this.vertx = vertx;
        this.budget = budget;
    }

    /** Creates a reader with a budget for all bodies. */
    public static BodyReader create(Vertx vertx, BodyBudget budget) {
        return new BodyReader(vertx, budget);
    }

    /**
     * Who sends a body, which decides in which order bodies are read.
     *
     * @param rank the rank of the request, 0 being the most urgent
     * @param workspace the workspace of the caller
     */
    public record Sender(int rank, String workspace) {}

    /**
     * Reads the whole body of an exchange, whose memory is reserved until the exchange ends. Fails with {@code
     * BODY_TOO_LARGE}, {@code REQUEST_TIMEOUT}, {@code QUEUE_FULL} or {@code BAD_REQUEST}, after which the connection
     * cannot be reused.
     */
    public Future<Buffer> read(CallerExchange exchange, Sender sender, int limitBytes, Duration timeout) {
        HttpServerRequest request = exchange.request();
        long length = contentLength(request);
        if (length > limitBytes) {
            return Future.failedFuture(tooLarge(limitBytes));
        }
        boolean chunked = request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
        long reserved = chunked ? Math.min(CHUNKED_BYTES, limitBytes) : length;
        Promise<Buffer> result = Promise.promise();
        long timer = EventLoopTimers.start(
                vertx, timeout, () -> result.tryFail(BaobabcartException.of(ResultCode.REQUEST_TIMEOUT)));
        BodyBudget.Pending pending = budget.reserve(sender.rank(), sender.workspace(), reserved, !chunked);
        if (!pending.granted().isComplete()) {
            awaitMemory(exchange, pending, timeout);
        }
        pending.granted().onFailure(result::tryFail).onSuccess(reservation -> {
            exchange.onEnd(reservation::release);
            if (exchange.isEnded()) {
                return;
            }
            readInto(result, request, reservation, limitBytes);
        });
        return result.future().onComplete(ignored -> vertx.cancelTimer(timer));
    }

    private void awaitMemory(CallerExchange exchange, BodyBudget.Pending pending, Duration timeout) {
        exchange.request().pause();
        Optional<RequestHeadGate> gate = RequestHeadGate.of(exchange.request().connection());
        gate.ifPresent(RequestHeadGate::pauseBody);
        Duration wait = timeout.compareTo(MAX_WAIT) < 0 ? timeout : MAX_WAIT;
        long timer = EventLoopTimers.start(vertx, wait, pending::giveUp);
        exchange.onEnd(pending::giveUp);
        pending.granted().onComplete(ignored -> {
            vertx.cancelTimer(timer);
            gate.ifPresent(RequestHeadGate::resumeBody);
        });
    }

    private static void readInto(
            Promise<Buffer> result, HttpServerRequest request, BodyBudget.Reservation reservation, int limitBytes) {
        Buffer body = Buffer.buffer((int) reservation.bytes());
        reservation.startArriving(() -> result.tryFail(BaobabcartException.of(ResultCode.REQUEST_TIMEOUT)));
        result.future().onComplete(ignored -> reservation.received());
        request.exceptionHandler(
                cause -> result.tryFail(BaobabcartException.of(ResultCode.BAD_REQUEST, "the body is incomplete")));
        request.handler(chunk -> {
            reservation.progressed();
            long size = (long) body.length() + chunk.length();
            if (result.future().isComplete()) {
                return;
            }
            if (size > limitBytes) {
                result.tryFail(tooLarge(limitBytes));
            } else if (size > reservation.bytes() && !reservation.tryGrow(Math.min(limitBytes, 2 * size))) {
                result.tryFail(
                        BaobabcartException.of(ResultCode.QUEUE_FULL, "the memory for request bodies is used up"));
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(ignored -> result.tryComplete(body));
        request.resume();
    }

    private static BaobabcartException tooLarge(int limitBytes) {
        return BaobabcartException.of(ResultCode.BODY_TOO_LARGE, "at most " + limitBytes + " bytes");
    }

    private static long contentLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        return length != null && length.matches("[0-9]{1,18}") ? Long.parseLong(length) : 0;
    }
}
