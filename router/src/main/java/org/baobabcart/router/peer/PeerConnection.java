package org.baobabcart.router.peer;

import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Connection to a peer that carries many concurrent calls, matched to their replies by sequence numbers. Thread-safe.
 *
 * <p>If a call times out and no byte has arrived since it was sent, the connection is retired: new calls open another
 * connection, since a network device between the two ends may have dropped the state of this one.
 */
final class PeerConnection {
    private final PeerCodec codec;
    private final PeerSettings settings;
    private final Map<Integer, PendingCall<?, ?>> pendingCalls = new ConcurrentHashMap<>();
    private final Queue<Buffer> unsentFrames = new ArrayDeque<>();
    private final AtomicLong backlogBytes = new AtomicLong();
    private NetSocket socket;
    private int nextSequence;
    private boolean retired;
    private boolean closed;
    private volatile long lastReceivedNanos;

    private PeerConnection(PeerCodec codec, PeerSettings settings) {
        this.codec = codec;
        this.settings = settings;
    }

    static PeerConnection open(Future<NetSocket> connecting, PeerCodec codec, PeerSettings settings) {
        PeerConnection connection = new PeerConnection(codec, settings);
        connection.lastReceivedNanos = System.nanoTime();
        connecting.onSuccess(connection::onConnected).onFailure(connection::onBroken);
        return connection;
    }

    synchronized boolean isUsable() {
        return !retired && !closed;
    }

    <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> void call(
            PeerMethod<Q, R, A, S> method, Q request, long deadlineNanos, UniEmitter<? super R> emitter) {
        int sequence = register(new PendingCall<>(method, emitter, System.nanoTime(), deadlineNanos));
        if (sequence < 0) {
            emitter.fail(unreachable("the connection is closed"));
            return;
        }
        try {
            send(codec.call(method.name(), sequence, method.arguments().apply(request)));
        } catch (BaobabcartException exception) {
            pendingCalls.remove(sequence);
            emitter.fail(exception);
        }
    }

    /** Fails overdue calls, and then closes the connection if it is retired and no call is pending. */
    void sweep(long nowNanos) {
        Iterator<PendingCall<?, ?>> iterator = pendingCalls.values().iterator();
        while (iterator.hasNext()) {
            PendingCall<?, ?> call = iterator.next();
            if (nowNanos - call.deadlineNanos() >= 0) {
                iterator.remove();
                retireIfSilentSince(call.sentNanos());
                call.emitter().fail(unreachable("timed out"));
            }
        }
        closeIfRetired();
    }

    void close() {
        onBroken(unreachable("the client is closed"));
    }

    private synchronized <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> int register(PendingCall<R, S> call) {
        if (closed) {
            return -1;
        }
        nextSequence = (nextSequence + 1) & Integer.MAX_VALUE;
        pendingCalls.put(nextSequence, call);
        return nextSequence;
    }

    private synchronized void send(Buffer frame) {
        if (socket == null) {
            unsentFrames.add(frame);
        } else if (backlogBytes.get() + frame.length() > settings.maxBacklogBytes()) {
            throw unreachable("write backlog is full");
        } else {
            write(frame);
        }
    }

    private void write(Buffer frame) {
        int bytes = frame.length();
        backlogBytes.addAndGet(bytes);
        socket.write(frame).onComplete(ignored -> backlogBytes.addAndGet(-bytes));
    }

    private synchronized void onConnected(NetSocket opened) {
        if (closed) {
            opened.close();
            return;
        }
        opened.handler(new PeerFrameDecoder(settings.maxFrameBytes(), this::onFrame, opened::close));
        opened.exceptionHandler(this::onBroken);
        opened.closeHandler(ignored -> onBroken(unreachable("the peer closed the connection")));
        socket = opened;
        unsentFrames.forEach(this::write);
        unsentFrames.clear();
    }

    private void onFrame(byte[] frame) {
        lastReceivedNanos = System.nanoTime();
        try {
            TProtocol protocol = codec.reader(frame);
            org.apache.thrift.protocol.TMessage header = protocol.readMessageBegin();
            PendingCall<?, ?> call = pendingCalls.remove(header.seqid);
            if (call != null) {
                call.complete(header.type, protocol);
            }
        } catch (TException | RuntimeException exception) {
            onBroken(exception);
        }
    }

    private synchronized void retireIfSilentSince(long sentNanos) {
        if (lastReceivedNanos - sentNanos < 0) {
            retired = true;
        }
    }

    private void closeIfRetired() {
        boolean shouldClose;
        synchronized (this) {
            shouldClose = retired && pendingCalls.isEmpty() && !closed;
        }
        if (shouldClose) {
            close();
        }
    }

    private void onBroken(Throwable cause) {
        NetSocket open;
        synchronized (this) {
            closed = true;
            unsentFrames.clear();
            open = socket;
            socket = null;
        }
        if (open != null) {
            open.close();
        }
        pendingCalls.keySet().forEach(sequence -> failCall(sequence, cause));
    }

    private void failCall(int sequence, Throwable cause) {
        PendingCall<?, ?> call = pendingCalls.remove(sequence);
        if (call != null) {
            call.emitter()
                    .fail(
                            cause instanceof BaobabcartException
                                    ? cause
                                    : unreachable("the connection is broken").withCause(cause));
        }
    }

    private static BaobabcartException unreachable(String detail) {
        return BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, "peer: " + detail);
    }

    private record PendingCall<R, S extends TBase<?, ?>>(
            PeerMethod<?, R, ?, S> method, UniEmitter<? super R> emitter, long sentNanos, long deadlineNanos) {
        void complete(byte type, TProtocol protocol) throws TException {
            if (type == TMessageType.EXCEPTION) {
                TApplicationException exception = TApplicationException.readFrom(protocol);
                emitter.fail(BaobabcartException.of(ResultCode.INTERNAL, "peer: " + exception.getMessage()));
                return;
            }
            S result = method.emptyResult().get();
            result.read(protocol);
            R reply = method.reply().apply(result);
            if (reply == null) {
                emitter.fail(BaobabcartException.of(ResultCode.INTERNAL, "peer: reply without content"));
            } else {
                emitter.complete(reply);
            }
        }
    }
}
