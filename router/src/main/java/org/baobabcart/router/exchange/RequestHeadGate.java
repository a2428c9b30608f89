package org.baobabcart.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import io.vertx.core.http.HttpConnection;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.admission.HeadBudget;
import org.baobabcart.router.transport.Connections;

/**
 * Keeps the bytes of a request's head from the HTTP parser until the head is complete and there is memory for what the parser makes of
 * it. A head that is too large or too slow is refused, and so nothing of it is ever parsed. Confined to the event loop of its connection, but
 * for the methods that {@link ClientMemory} calls.
 *
 * <p>A connection has one parsed request at a time; what follows it waits as bytes. The size of a body is taken from the parsed
 * request, so that the gate and the parser agree on where the next head begins.
 */
final class RequestHeadGate extends ChannelDuplexHandler {
    private static final String NAME = "requestHeadGate";
    private static final String DECODER = "httpDecoder";
    /** The bytes of method, version and line ends, which are no part of the operator's limit. */
    private static final int FRAMING_BYTES = 32;
    /** Empty lines that some clients send after a body; they do not begin a request. */
    private static final int USUAL_EMPTY_LINE_BYTES = 4;
    /** A size line that arrives in pieces, or a short trailer. */
    private static final int UNCOUNTED_TRAILER_BYTES = 64;
    /** How much of a chunked body is parsed before its reader can pause; one-byte chunks cost the parser 30 times their size. */
    private static final int CHUNKED_SLICE_BYTES = 1024;
    /** What is still read after a refusal, since closing with unread bytes may reset the connection and lose the response. */
    private static final int LINGER_BYTES = 64 * 1024;

    private static final long LINGER_MILLIS = 1_000;

    /** What the next bytes belong to. */
    private enum State {
        HEAD,
        BODY,
        CHUNKED_BODY,
        /** A refused or broken request; what follows is dropped. */
        CLOSED
    }

    private final ClientMemory memory;
    private final GateSettings settings;
    private final RequestHeadScanner scanner = new RequestHeadScanner();
    private ChannelHandlerContext context;
    private State state = State.HEAD;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private int countedBytes;
    private int emptyLineBytes;
    private long bodyBytesLeft;
    private long droppedBytes;
    private final List<HeadBudget.Head> trailers = new ArrayList<>();
    private int trailerBytes;
    private boolean contentSeen;
    private Optional<HeadBudget.Head> parsed = Optional.empty();
    private boolean requestRunning;
    private boolean awaitsMemory;
    private boolean bodyPaused;
    private boolean readingStopped;
    private boolean processing;
    private boolean refused;
    private ScheduledFuture<?> headTimer;

    /**
     * What differs between interfaces.
     *
     * @param maxHeadBytes the operator's limit for a head
     * @param headMillis the time within which a head that has begun must be complete
     * @param refusals makes a response as it is sent
     */
    record GateSettings(Supplier<Integer> maxHeadBytes, Supplier<Long> headMillis, RefusalFormat refusals) {}

    private RequestHeadGate(ClientMemory memory, GateSettings settings) {
        this.memory = memory;
        this.settings = settings;
    }

    /** Puts a gate in front of the HTTP parser of a connection; returns none if it does not speak HTTP/1. */
    static Optional<RequestHeadGate> install(HttpConnection connection, ClientMemory memory, GateSettings settings) {
        Optional<Channel> channel = Connections.channelOf(connection)
                .filter(candidate -> candidate.pipeline().get(DECODER) != null);
        return channel.map(found -> {
            RequestHeadGate gate = new RequestHeadGate(memory, settings);
            found.pipeline().addBefore(DECODER, NAME, gate);
            found.pipeline().addAfter(DECODER, NAME + "Framing", gate.new FramingObserver());
            return gate;
        });
    }

    /** Returns the gate of a connection. */
    static Optional<RequestHeadGate> of(HttpConnection connection) {
        return Connections.channelOf(connection)
                .map(channel -> channel.pipeline().get(RequestHeadGate.class));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof ByteBuf)) {
            ctx.fireChannelRead(message);
            return;
        }
        append((ByteBuf) message);
        process();
    }

    private void append(ByteBuf bytes) {
        if (!held.isReadable()) {
            held.release();
            held = bytes;
            return;
        }
        if (held.writableBytes() < bytes.readableBytes()) {
            // A pooled buffer would grow in the pool's arena, which is never given back.
            ByteBuf larger = Unpooled.buffer(Integer.highestOneBit(held.readableBytes() + bytes.readableBytes()) * 2);
            larger.writeBytes(held);
            held.release();
            held = larger;
        }
        held.writeBytes(bytes);
        bytes.release();
    }

    /** Passes on as much as the state allows and keeps the rest. */
    private void process() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (held.isReadable() && passOn()) {
                // Each pass takes some bytes.
            }
        } finally {
            processing = false;
        }
        if (!held.isReadable()) {
            held.release();
            held = Unpooled.EMPTY_BUFFER;
        }
        count();
        stopOrContinueReading();
    }

    /** Returns whether bytes were taken, so that more may follow. */
    private boolean passOn() {
        return switch (state) {
            case HEAD -> passHead();
            case BODY -> !bodyPaused && passBody((int) Math.min(bodyBytesLeft, held.readableBytes()));
            case CHUNKED_BODY ->
                !bodyPaused
                        && context.channel().config().isAutoRead()
                        && passChunks(Math.min(CHUNKED_SLICE_BYTES, held.readableBytes()));
            case CLOSED -> drop();
        };
    }

    private boolean passHead() {
        int empty = RequestHeadScanner.emptyLineBytes(held);
        if (scanner.isAtBeginning() && empty > 0) {
            held.skipBytes(empty);
            emptyLineBytes += empty;
            if (emptyLineBytes > maxHeadBytes()) {
                refuse(ResultCode.HEADERS_TOO_LARGE);
            } else if (emptyLineBytes > USUAL_EMPTY_LINE_BYTES) {
                startHeadTimer();
            }
            return true;
        }
        if (requestRunning || awaitsMemory || !context.channel().isWritable()) {
            return false;
        }
        int bytes = scanner.scan(held);
        if (Math.max(bytes, bytes < 0 ? held.readableBytes() : 0) > maxHeadBytes()) {
            refuse(ResultCode.HEADERS_TOO_LARGE);
            return true;
        }
        if (bytes < 0) {
            startHeadTimer();
            return false;
        }
        HeadBudget.Head head = scanner.head(bytes);
        if (!memory.tryParse(this, head)) {
            awaitsMemory = true;
            startHeadTimer();
            return false;
        }
        parse(head);
        return true;
    }

    private void parse(HeadBudget.Head head) {
        cancelHeadTimer();
        scanner.reset();
        emptyLineBytes = 0;
        parsed = Optional.of(head);
        requestRunning = true;
        // Overwritten by the observer, unless the parser refuses the head.
        state = State.CLOSED;
        pass(head.bytes());
    }

    private boolean passBody(int bytes) {
        bodyBytesLeft -= bytes;
        if (bodyBytesLeft == 0) {
            state = State.HEAD;
        }
        return pass(bytes);
    }

    /**
     * Passes on a part of a chunked body. What yields no content is trailers or the size line of a chunk, which the parser keeps as it
     * keeps a head.
     */
    private boolean passChunks(int bytes) {
        int lines = RequestHeadScanner.countLines(held, bytes);
        contentSeen = false;
        pass(bytes);
        if (state != State.CHUNKED_BODY || contentSeen) {
            releaseTrailers();
            return true;
        }
        trailerBytes += bytes;
        if (trailerBytes <= UNCOUNTED_TRAILER_BYTES) {
            return true;
        }
        HeadBudget.Head slice = new HeadBudget.Head(bytes, lines);
        if (trailerBytes <= maxHeadBytes() && memory.tryAddTrailers(slice)) {
            trailers.add(slice);
        } else {
            state = State.CLOSED;
            memory.countClosed("trailers");
            context.close();
        }
        return true;
    }

    private void releaseTrailers() {
        trailers.forEach(memory::release);
        trailers.clear();
        trailerBytes = 0;
    }

    private boolean pass(int bytes) {
        if (bytes == held.readableBytes()) {
            ByteBuf all = held;
            held = Unpooled.EMPTY_BUFFER;
            context.fireChannelRead(all);
        } else {
            context.fireChannelRead(held.readRetainedSlice(bytes));
        }
        return true;
    }

    private boolean drop() {
        droppedBytes += held.readableBytes();
        held.skipBytes(held.readableBytes());
        if (droppedBytes > LINGER_BYTES) {
            context.close();
        }
        return true;
    }

    private int maxHeadBytes() {
        return settings.maxHeadBytes().get() + FRAMING_BYTES;
    }

    /** Counts what is kept, in whole buffers, since these are what takes memory. */
    private void count() {
        int bytes = held.isReadable() ? held.capacity() : 0;
        if (bytes != countedBytes) {
            countedBytes = bytes;
            memory.hold(this, bytes);
        }
    }

    private boolean isBlocked() {
        return held.isReadable() && (state != State.HEAD || requestRunning || awaitsMemory || !isWritable());
    }

    private boolean isWritable() {
        return context.channel().isWritable();
    }

    private void stopOrContinueReading() {
        if (isBlocked() || bodyPaused) {
            if (context.channel().config().isAutoRead()) {
                readingStopped = true;
                context.channel().config().setAutoRead(false);
            }
        } else if (readingStopped) {
            readingStopped = false;
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void read(ChannelHandlerContext ctx) throws Exception {
        if (processing || !held.isReadable()) {
            super.read(ctx);
        } else {
            // The reader of a body has resumed, which takes what was kept before anything new.
            ctx.executor().execute(this::resume);
        }
    }

    /** Passes on what was kept, as if it had been read now. */
    private void resume() {
        if (!held.isReadable()) {
            stopOrContinueReading();
            return;
        }
        process();
        context.fireChannelReadComplete();
        if (!isBlocked()) {
            context.read();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        super.channelWritabilityChanged(ctx);
        resume();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        discard();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        discard();
    }

    private void discard() {
        state = State.CLOSED;
        cancelHeadTimer();
        releaseParsed();
        if (!processing) {
            held.release();
            held = Unpooled.EMPTY_BUFFER;
        }
        memory.remove(this);
    }

    private void releaseParsed() {
        parsed.ifPresent(memory::release);
        parsed = Optional.empty();
        releaseTrailers();
    }

    /** Keeps the rest of a body until the reading goes on. */
    void pauseBody() {
        bodyPaused = true;
        stopOrContinueReading();
    }

    /** Continues to read a body. */
    void resumeBody() {
        if (bodyPaused) {
            bodyPaused = false;
            // The reader's own state changes first.
            context.executor().execute(this::resume);
        }
    }

    /** Lets the next request pass, since the one before has ended. */
    void requestEnded() {
        // What is written in this turn of the event loop goes first.
        context.executor().execute(() -> {
            requestRunning = false;
            releaseParsed();
            resume();
        });
    }

    /** Tries again, since memory for heads was given back. */
    void memoryReleased() {
        context.executor().execute(() -> {
            awaitsMemory = false;
            if (state == State.CLOSED) {
                memory.wakeWaiting();
            }
            resume();
        });
    }

    /** Closes the connection, which holds more than others while there is too little memory. */
    void turnAway() {
        memory.countClosed("unparsed bytes");
        context.executor().execute(context::close);
    }

    private void startHeadTimer() {
        if (headTimer == null && state == State.HEAD && !requestRunning) {
            headTimer = context.executor()
                    .schedule(this::refuseIncompleteHead, settings.headMillis().get(), TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether a part of a head has arrived. */
    boolean hasBegunHead() {
        return headTimer != null;
    }

    /** Refuses a head that has begun and whose time is over. Returns false if the connection has no response to send. */
    boolean refuseIncompleteHead() {
        if (headTimer != null) {
            refuse(awaitsMemory ? ResultCode.QUEUE_FULL : ResultCode.REQUEST_TIMEOUT);
        }
        return refused;
    }

    private void cancelHeadTimer() {
        if (headTimer != null) {
            headTimer.cancel(false);
            headTimer = null;
        }
    }

    /** Responds to a request of which nothing was parsed, and reads nothing more than what is on its way. */
    private void refuse(ResultCode code) {
        if (state == State.CLOSED) {
            return;
        }
        cancelHeadTimer();
        state = State.CLOSED;
        refused = true;
        memory.remove(this);
        countedBytes = 0;
        memory.countRefused();
        if (requestRunning) {
            // A response of its own would be taken for that of the running request.
            context.close();
            return;
        }
        context.writeAndFlush(settings.refusals().encode(code)).addListener(written -> {
            if (written.isSuccess() && context.channel() instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
        });
        context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        if (!processing) {
            process();
        }
    }

    /** Learns from the parser how much of what follows is the body of the request. */
    private final class FramingObserver extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest request
                    && request.decoderResult().isSuccess()) {
                if (HttpUtil.isTransferEncodingChunked(request)) {
                    state = State.CHUNKED_BODY;
                } else {
                    bodyBytesLeft = HttpUtil.getContentLength(request, 0L);
                    state = bodyBytesLeft > 0 ? State.BODY : State.HEAD;
                }
            }
            if (state == State.CHUNKED_BODY && message instanceof HttpContent) {
                contentSeen = true;
                if (message instanceof LastHttpContent) {
                    // A request with a chunked body is the last of its connection.
                    state = State.CLOSED;
                }
            }
            ctx.fireChannelRead(message);
        }
    }
}
