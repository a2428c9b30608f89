package org.baobabcart.router.peer;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
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
 * Server of the peer protocol. Thread-safe.
 *
 * <p>A malformed frame closes its connection. If a handler fails, the server replies with a Thrift application
 * exception. Replies are sent in the order in which they become available.
 */
public final class PeerServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final NetServer server;
    private final PeerSettings settings;
    private final PeerCodec codec;
    private volatile Map<String, MethodHandler<?, ?, ?, ?>> methodHandlers = Map.of();

    private PeerServer(Vertx vertx, PeerSettings settings) {
        NetServerOptions options = new NetServerOptions()
                .setTcpNoDelay(true)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout((int) settings.idleTimeout().multipliedBy(2).toMillis());
        this.server = vertx.createNetServer(settings.transport().forMembers(options));
        this.settings = settings;
        this.codec = new PeerCodec(settings.maxFrameBytes());
    }

    /** Creates a server that does not listen yet. */
    public static PeerServer create(Vertx vertx, PeerSettings settings) {
        return new PeerServer(vertx, settings);
    }

    /** Starts listening; returns the port. */
    public Uni<Integer> listen(String host, int port) {
        server.connectHandler(this::accept);
        return Futures.toUni(() -> server.listen(port, host)).map(NetServer::actualPort);
    }

    /** Sets the handlers of calls. Until then, every call is rejected as an unknown method. */
    public void serve(PeerHandlers handlers) {
        Map<String, MethodHandler<?, ?, ?, ?>> newHandlers = new HashMap<>();
        bind(newHandlers, PeerMethod.EXCHANGE, handlers.members()::exchange);
        bind(newHandlers, PeerMethod.PROBE, handlers.members()::probe);
        bind(newHandlers, PeerMethod.FETCH_DOCUMENT, handlers.documents()::fetchDocument);
        bind(newHandlers, PeerMethod.CLAIM, handlers.claims()::claim);
        bind(newHandlers, PeerMethod.SETTLE, handlers.claims()::settle);
        bind(newHandlers, PeerMethod.ATTEMPT_STATE, handlers.claims()::attemptState);
        bind(newHandlers, PeerMethod.HOLD_BILLS, handlers.bills()::holdBills);
        bind(newHandlers, PeerMethod.RELEASE_BILLS, handlers.bills()::releaseBills);
        methodHandlers = Map.copyOf(newHandlers);
    }

    /** Closes all connections and stops listening. */
    public Uni<Void> close() {
        return Futures.toUni(server::close);
    }

    private static <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> void bind(
            Map<String, MethodHandler<?, ?, ?, ?>> newHandlers,
            PeerMethod<Q, R, A, S> method,
            Function<Q, Uni<R>> handler) {
        newHandlers.put(method.name(), new MethodHandler<>(method, handler));
    }

    private void accept(NetSocket socket) {
        socket.exceptionHandler(failure -> socket.close());
        socket.handler(new PeerFrameDecoder(settings.maxFrameBytes(), frame -> onFrame(socket, frame), socket::close));
    }

    private void onFrame(NetSocket socket, byte[] frame) {
        try {
            TProtocol protocol = codec.reader(frame);
            TMessage header = protocol.readMessageBegin();
            MethodHandler<?, ?, ?, ?> methodHandler = methodHandlers.get(header.name);
            if (methodHandler == null) {
                socket.write(codec.failure(
                        header.name, header.seqid, TApplicationException.UNKNOWN_METHOD, "unknown method"));
            } else {
                methodHandler.serve(codec, socket, header.seqid, protocol);
            }
        } catch (TException | RuntimeException exception) {
            LOGGER.atWarning().withCause(exception).log("event=peer_frame_refused peer=%s", socket.remoteAddress());
            socket.close();
        }
    }

    private record MethodHandler<Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>>(
            PeerMethod<Q, R, A, S> method, Function<Q, Uni<R>> handler) {
        void serve(PeerCodec codec, NetSocket socket, int sequence, TProtocol protocol) throws TException {
            A arguments = method.emptyArguments().get();
            arguments.read(protocol);
            handler.apply(method.request().apply(arguments))
                    .map(reply ->
                            codec.reply(method.name(), sequence, method.result().apply(reply)))
                    .onFailure()
                    .recoverWithItem(failure -> errorReply(codec, sequence, failure))
                    .subscribe()
                    .with(socket::write);
        }

        private Buffer errorReply(PeerCodec codec, int sequence, Throwable failure) {
            String text = String.valueOf(failure.getMessage());
            return codec.failure(method.name(), sequence, TApplicationException.INTERNAL_ERROR, text);
        }
    }
}
