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
    private volatile Map<String, Binding<?, ?, ?, ?>> bindings = Map.of();

    private PeerServer(Vertx vertx, PeerSettings settings) {
        NetServerOptions options = new NetServerOptions()
                .setTcpNoDelay(true)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout((int) settings.idleTimeout().multipliedBy(2).toMillis());
        this.server = vertx.createNetServer(settings.transport().forMembers(options));
        this.settings = settings;
        this.codec = new PeerCodec(settings.maxFrameBytes());
    }

    /** A server that does not listen yet. */
    public static PeerServer create(Vertx vertx, PeerSettings settings) {
        return new PeerServer(vertx, settings);
    }

    /** Starts to listen; answers with the port. */
    public Uni<Integer> listen(String host, int port) {
        server.connectHandler(this::accept);
        return Futures.toUni(() -> server.listen(port, host)).map(NetServer::actualPort);
    }

    /** Serves calls by these handlers from now on; until then every call is refused. */
    public void serve(PeerHandlers handlers) {
        Map<String, Binding<?, ?, ?, ?>> served = new HashMap<>();
        bind(served, PeerMethod.EXCHANGE, handlers.members()::exchange);
        bind(served, PeerMethod.PROBE, handlers.members()::probe);
        bind(served, PeerMethod.FETCH_DOCUMENT, handlers.documents()::fetchDocument);
        bind(served, PeerMethod.CLAIM, handlers.claims()::claim);
        bind(served, PeerMethod.SETTLE, handlers.claims()::settle);
        bind(served, PeerMethod.ATTEMPT_STATE, handlers.claims()::attemptState);
        bind(served, PeerMethod.HOLD_BILLS, handlers.bills()::holdBills);
        bind(served, PeerMethod.RELEASE_BILLS, handlers.bills()::releaseBills);
        bindings = Map.copyOf(served);
    }

    /** Closes all connections and stops listening. */
    public Uni<Void> close() {
        return Futures.toUni(server::close);
    }

    private static <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> void bind(
            Map<String, Binding<?, ?, ?, ?>> served, PeerMethod<Q, R, A, S> method, Function<Q, Uni<R>> handler) {
        served.put(method.name(), new Binding<>(method, handler));
    }

    private void accept(NetSocket socket) {
        socket.exceptionHandler(failure -> socket.close());
        socket.handler(new PeerFrameDecoder(settings.maxFrameBytes(), frame -> received(socket, frame), socket::close));
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
                    .map(reply ->
                            codec.reply(method.name(), sequence, method.result().apply(reply)))
                    .onFailure()
                    .recoverWithItem(failure -> refusal(codec, sequence, failure))
                    .subscribe()
                    .with(socket::write);
        }

        private Buffer refusal(PeerCodec codec, int sequence, Throwable failure) {
            String text = String.valueOf(failure.getMessage());
            return codec.failure(method.name(), sequence, TApplicationException.INTERNAL_ERROR, text);
        }
    }
}
