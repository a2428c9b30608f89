package org.baobabcart.router.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Passes only the bytes of responses to the HTTP decoder. When others arrive, they are dropped, no further request is sent,
 * and the owner of the connection must close it once the last response was delivered. Confined to the event loop of the
 * connection.
 *
 * <p>The decoder reads ahead: bytes of an incomplete head would stay in it, and the next response would continue that
 * head. Data is therefore passed on in parts that never extend beyond the end of a response. A head, and a body in
 * chunks, end with an empty line; a body with a declared length ends with its last byte.
 */
final class ResponseBoundary {
    private static final long UNKNOWN_LENGTH = -1;

    private final BiConsumer<UnexpectedData.Kind, Integer> unexpected;
    private static final AttributeKey<ResponseBoundary> BOUNDARY = AttributeKey.valueOf(ResponseBoundary.class, "");

    /** Whether a request has been written, at least in part, whose response is not complete. */
    private boolean responseDue;

    private volatile boolean requestWritten = true;
    /** Whether the request goes on after the response in progress; the HTTP client ends it with other interim ones. */
    private boolean interim;
    /** The bytes of the body with a declared length that have not arrived; unknown outside such a body. */
    private long bodyBytesLeft = UNKNOWN_LENGTH;
    /** Whether no byte of the current line has arrived, apart from carriage returns. */
    private boolean lineEmpty = true;
    /** Whether the head of the response in progress is complete. */
    private boolean headRead;

    private final StatusLineCounter statusLines = new StatusLineCounter();
    private final ResponseHeadSyntax headSyntax = new ResponseHeadSyntax();
    /** The data that was read from the connection and not passed to the decoder yet. */
    private ByteBuf unread = Unpooled.EMPTY_BUFFER;
    /** Whether bytes that belong to no response have arrived. */
    private boolean discarded;

    private ResponseBoundary(BiConsumer<UnexpectedData.Kind, Integer> unexpected) {
        this.unexpected = unexpected;
    }

    /**
     * Guards a connection on which nothing has been sent yet.
     *
     * @param unexpected receives the kind and number of bytes that belong to no response
     */
    static void guard(HttpConnection connection, BiConsumer<UnexpectedData.Kind, Integer> unexpected) {
        Connections.channelOf(connection).ifPresent(channel -> new ResponseBoundary(unexpected).install(channel));
    }

    /** Returns whether the last request on a guarded connection was written in full. May be called from any thread. */
    static boolean isRequestWritten(HttpConnection connection) {
        return Connections.channelOf(connection)
                .map(channel -> channel.attr(BOUNDARY).get())
                .filter(boundary -> !boundary.requestWritten)
                .isEmpty();
    }

    private void install(Channel channel) {
        channel.attr(BOUNDARY).set(this);
        ChannelPipeline pipeline = channel.pipeline();
        ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
        boolean closed = codec == null;
        if (!closed) {
            pipeline.addBefore(codec.name(), null, new DataHandler());
            pipeline.addAfter(codec.name(), null, new MessageHandler());
        }
    }

    /** Returns the length of the next part of the data; at most one response ends in it, and only at its end. */
    private int nextPart(ByteBuf data) {
        if (bodyBytesLeft > 0) {
            return (int) Math.min(bodyBytesLeft, data.readableBytes());
        }
        int endOfEmptyLine = data.forEachByte(this::continuesLine);
        return endOfEmptyLine < 0 ? data.readableBytes() : endOfEmptyLine + 1 - data.readerIndex();
    }

    /** Reads one byte; returns false for the end of an empty line. */
    private boolean continuesLine(byte next) {
        if (!headRead) {
            statusLines.read(next);
            headSyntax.read(next);
        }
        if (next == '\n') {
            boolean empty = lineEmpty;
            lineEmpty = true;
            return !empty;
        }
        lineEmpty = lineEmpty && next == '\r';
        return true;
    }

    private void beginResponse(HttpResponse response) {
        headRead = true;
        interim = response.status().code() == HttpResponseStatus.CONTINUE.code()
                || response.status().code() == HttpResponseStatus.EARLY_HINTS.code();
        boolean lengthCounts = response.decoderResult().isSuccess() && !HttpUtil.isTransferEncodingChunked(response);
        bodyBytesLeft = lengthCounts ? HttpUtil.getContentLength(response, UNKNOWN_LENGTH) : UNKNOWN_LENGTH;
    }

    private void readContent(HttpContent content) {
        if (bodyBytesLeft > 0) {
            bodyBytesLeft -= content.content().readableBytes();
        }
        if (content instanceof LastHttpContent) {
            bodyBytesLeft = UNKNOWN_LENGTH;
            headRead = false;
            statusLines.reset();
            headSyntax.reset();
            lineEmpty = true;
            if (!interim) {
                endResponse();
            }
        }
    }

    /** Ends the response in progress; called before the HTTP client learns of its end and may reuse the connection. */
    private void endResponse() {
        responseDue = false;
        discardUnread(UnexpectedData.Kind.AFTER_RESPONSE);
    }

    private void discardUnread(UnexpectedData.Kind kind) {
        int bytes = unread.readableBytes();
        if (bytes > 0) {
            discarded = true;
            unread.skipBytes(bytes);
            unexpected.accept(kind, bytes);
        }
    }

    /** Receives the data before it reaches the HTTP decoder. */
    private final class DataHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!(message instanceof ByteBuf data)) {
                context.fireChannelRead(message);
                return;
            }
            unread = data;
            try {
                if (!responseDue) {
                    discardUnread(UnexpectedData.Kind.WITHOUT_REQUEST);
                }
                while (data.isReadable()) {
                    context.fireChannelRead(data.readRetainedSlice(nextPart(data)));
                }
            } finally {
                unread = Unpooled.EMPTY_BUFFER;
                ReferenceCountUtil.release(data);
            }
        }
    }

    /** Returns why a head is rejected. */
    private Optional<String> violationOf(HttpResponse response) {
        if (statusLines.count() > 1) {
            return Optional.of("the head contains a second status line");
        }
        if (headSyntax.violation().isPresent()) {
            return headSyntax.violation();
        }
        if (response.decoderResult().isSuccess()) {
            return ResponseHeadRules.violationOf(response);
        }
        Throwable cause = response.decoderResult().cause();
        // A head that ends with its connection is a broken response, which the HTTP client reports.
        return cause instanceof PrematureChannelClosureException
                ? Optional.empty()
                : Optional.of("the head cannot be decoded: " + cause.getMessage());
    }

    /** Fails the request in progress, drops a message and closes the connection. */
    private void reject(ChannelHandlerContext context, Object message, String violation) {
        ReferenceCountUtil.release(message);
        unread.skipBytes(unread.readableBytes());
        context.fireExceptionCaught(new MalformedResponseException(violation));
        context.close();
    }

    /** Follows requests and decoded responses. */
    private final class MessageHandler extends ChannelDuplexHandler {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest && discarded) {
                String violation = "data arrived before the request was sent";
                promise.tryFailure(new MalformedResponseException(violation));
                reject(context, message, violation);
                return;
            }
            if (message instanceof HttpRequest) {
                responseDue = true;
                requestWritten = false;
            }
            if (message instanceof LastHttpContent) {
                context.write(message, promise.unvoid().addListener(written -> requestWritten |= written.isSuccess()));
                return;
            }
            context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                Optional<String> violation = violationOf(response);
                if (violation.isPresent()) {
                    reject(context, message, violation.get());
                    return;
                }
                beginResponse(response);
            }
            if (message instanceof HttpContent content) {
                readContent(content);
            }
            context.fireChannelRead(message);
        }
    }
}
