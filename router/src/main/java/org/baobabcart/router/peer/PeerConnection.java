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
 * One connection to a peer on which many calls wait at once, told apart by their sequence numbers. Thread-safe.
 *
 * <p>A connection that lets a call time out while no byte came back is retired: new calls open another one, since
 * something between the two ends may have forgotten it.
 */
final class PeerConnection {
    private final PeerCodec codec;
    private final PeerSettings settings;
    private final Map<Integer, Pending<?, ?>> calls = new ConcurrentHashMap<>();
    private final Queue<Buffer> unsent = new ArrayDeque<>();
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
        connecting.onSuccess(connection::connected).onFailure(connection::broken);
        return connection;
    }

    synchronized boolean usable() {
        return !retired && !closed;
    }

    <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> void call(
            PeerMethod<Q, R, A, S> method, Q request, long deadlineNanos, UniEmitter<? super R> emitter) {
        int sequence = register(new Pending<>(method, emitter, System.nanoTime(), deadlineNanos));
        if (sequence < 0) {
            emitter.fail(unreachable("the connection is closed"));
            return;
        }
        try {
            send(codec.call(method.name(), sequence, method.arguments().apply(request)));
        } catch (BaobabcartException exception) {
            calls.remove(sequence);
            emitter.fail(exception);
        }
    }

    /** Fails overdue calls; afterwards a retired connection without calls is closed. */
    void sweep(long nowNanos) {
        Iterator<Pending<?, ?>> pending = calls.values().iterator();
        while (pending.hasNext()) {
            Pending<?, ?> call = pending.next();
            if (nowNanos - call.deadlineNanos() >= 0) {
                pending.remove();
                retireIfSilentSince(call.sentNanos());
                call.emitter().fail(unreachable("no answer in time"));
            }
        }
        closeIfRetired();
    }

    void close() {
        broken(unreachable("the client is closed"));
    }

    private synchronized <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> int register(Pending<R, S> call) {
        if (closed) {
            return -1;
        }
        nextSequence = (nextSequence + 1) & Integer.MAX_VALUE;
        calls.put(nextSequence, call);
        return nextSequence;
    }

    private synchronized void send(Buffer frame) {
        if (socket == null) {
            unsent.add(frame);
        } else if (backlogBytes.get() + frame.length() > settings.maxBacklogBytes()) {
            throw unreachable("it does not read");
        } else {
            write(frame);
        }
    }

    private void write(Buffer frame) {
        int bytes = frame.length();
        backlogBytes.addAndGet(bytes);
        socket.write(frame).onComplete(ignored -> backlogBytes.addAndGet(-bytes));
    }

    private synchronized void connected(NetSocket opened) {
        if (closed) {
            opened.close();
            return;
        }
        opened.handler(new PeerFrameDecoder(settings.maxFrameBytes(), this::received, opened::close));
        opened.exceptionHandler(this::broken);
        opened.closeHandler(ignored -> broken(unreachable("the peer closed the connection")));
        socket = opened;
        unsent.forEach(this::write);
        unsent.clear();
    }

    private void received(byte[] frame) {
        lastReceivedNanos = System.nanoTime();
        try {
            TProtocol protocol = codec.reader(frame);
            org.apache.thrift.protocol.TMessage header = protocol.readMessageBegin();
            Pending<?, ?> call = calls.remove(header.seqid);
            if (call != null) {
                call.complete(header.type, protocol);
            }
        } catch (TException | RuntimeException exception) {
            broken(exception);
        }
    }

    private synchronized void retireIfSilentSince(long sentNanos) {
        if (lastReceivedNanos - sentNanos < 0) {
            retired = true;
        }
    }

    private void closeIfRetired() {
        boolean finished;
        synchronized (this) {
            finished = retired && calls.isEmpty() && !closed;
        }
        if (finished) {
            close();
        }
    }

    private void broken(Throwable cause) {
        NetSocket open;
        synchronized (this) {
            closed = true;
            unsent.clear();
            open = socket;
            socket = null;
        }
        if (open != null) {
            open.close();
        }
        calls.keySet().forEach(sequence -> failCall(sequence, cause));
    }

    private void failCall(int sequence, Throwable cause) {
        Pending<?, ?> call = calls.remove(sequence);
        if (call != null) {
            call.emitter()
                    .fail(
                            cause instanceof BaobabcartException
                                    ? cause
                                    : unreachable("broken").withCause(cause));
        }
    }

    private static BaobabcartException unreachable(String detail) {
        return BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, "peer: " + detail);
    }

    private record Pending<R, S extends TBase<?, ?>>(
            PeerMethod<?, R, ?, S> method, UniEmitter<? super R> emitter, long sentNanos, long deadlineNanos) {
        void complete(byte type, TProtocol protocol) throws TException {
            if (type == TMessageType.EXCEPTION) {
                TApplicationException refusal = TApplicationException.readFrom(protocol);
                emitter.fail(BaobabcartException.of(ResultCode.INTERNAL, "peer: " + refusal.getMessage()));
                return;
            }
            S result = method.emptyResult().get();
            result.read(protocol);
            R reply = method.reply().apply(result);
            if (reply == null) {
                emitter.fail(BaobabcartException.of(ResultCode.INTERNAL, "peer: an answer without content"));
            } else {
                emitter.complete(reply);
            }
        }
    }
}
