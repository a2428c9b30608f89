package org.baobabcart.router.peer;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.baobabcart.router.control.Futures;

/**
 * Serves the peer protocol. Thread-safe.
 *
 * <p>A broken frame closes its connection; a handler that fails is answered with a Thrift application exception. Answers
 * go out in the order in which they are ready.
 */
public final class PeerServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final NetServer server;
    private final PeerSettings settings;
    private final PeerCodec codec;
    private final Map<String, Binding<?, ?, ?, ?>> bindings = new HashMap<>();

    private PeerServer(Vertx vertx, PeerSettings settings, PeerHandlers handlers) {
        NetServerOptions options = new NetServerOptions()
                .setTcpNoDelay(true)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout((int) settings.idleTimeout().multipliedBy(2).toMillis());
        this.server = vertx.createNetServer(options);
        this.settings = settings;
        this.codec = new PeerCodec(settings.largestFrameBytes());
        bind(PeerMethod.EXCHANGE, handlers.members()::exchange);
        bind(PeerMethod.PROBE, handlers.members()::probe);
        bind(PeerMethod.FETCH_DOCUMENT, handlers.documents()::fetchDocument);
        bind(PeerMethod.CLAIM, handlers.claims()::claim);
        bind(PeerMethod.SETTLE, handlers.claims()::settle);
        bind(PeerMethod.ATTEMPT_STATE, handlers.claims()::attemptState);
        bind(PeerMethod.HOLD_BILLS, handlers.bills()::holdBills);
        bind(PeerMethod.RELEASE_BILLS, handlers.bills()::releaseBills);
    }

    /** A server that does not listen yet. */
    public static PeerServer create(Vertx vertx, PeerSettings settings, PeerHandlers handlers) {
        return new PeerServer(vertx, settings, handlers);
    }

    /** Starts to listen; answers with the port. */
    public Uni<Integer> listen(String host, int port) {
        server.connectHandler(this::accept);
        return Futures.toUni(() -> server.listen(port, host)).map(NetServer::actualPort);
    }

    /** Closes all connections and stops listening. */
    public Uni<Void> close() {
        return Futures.toUni(server::close);
    }

    private <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> void bind(
            PeerMethod<Q, R, A, S> method, Function<Q, Uni<R>> handler) {
        bindings.put(method.name(), new Binding<>(method, handler));
    }

    private void accept(NetSocket socket) {
        socket.setWriteQueueMaxSize(settings.largestBacklogBytes());
        socket.exceptionHandler(failure -> socket.close());
        socket.handler(new PeerFrames(settings.largestFrameBytes(), frame -> received(socket, frame), socket::close));
    }

    private void received(NetSocket socket, byte[] frame) {
        try {
            TProtocol protocol = codec.reader(frame);
            TMessage header = protocol.readMessageBegin();
            Binding<?, ?, ?, ?> binding = bindings.get(header.name);
            if (binding == null) {
                socket.write(codec.failure(
                        header.name, header.seqid, TApplicationException.UNKNOWN_METHOD, "unknown method"));
            } else {
                binding.serve(codec, socket, header.seqid, protocol);
            }
        } catch (TException | RuntimeException exception) {
            LOGGER.atWarning().withCause(exception).log("event=peer_frame_refused peer=%s", socket.remoteAddress());
            socket.close();
        }
    }

    private record Binding<Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>>(
            PeerMethod<Q, R, A, S> method, Function<Q, Uni<R>> handler) {
        void serve(PeerCodec codec, NetSocket socket, int sequence, TProtocol protocol) throws TException {
            A arguments = method.emptyArguments().get();
            arguments.read(protocol);
            handler.apply(method.request().apply(arguments))
                    .subscribe()
                    .with(
                            reply -> socket.write(codec.reply(
                                    method.name(), sequence, method.result().apply(reply))),
                            failure -> socket.write(codec.failure(
                                    method.name(),
                                    sequence,
                                    TApplicationException.INTERNAL_ERROR,
                                    String.valueOf(failure.getMessage()))));
        }
    }
}
