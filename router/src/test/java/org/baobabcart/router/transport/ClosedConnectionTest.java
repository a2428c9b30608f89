package org.baobabcart.router.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.baobabcart.router.transport.ScriptedServer.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A connection that its server has closed, and that takes a while to close on this side, is not used again. */
class ClosedConnectionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final Vertx vertx = Vertx.vertx();
    private final ConnectionPool pool = ConnectionPool.create(vertx, new HttpClientOptions(), 64, unexpected -> {});
    private ScriptedServer server;

    @BeforeEach
    void start() throws Exception {
        server = ScriptedServer.start(path -> Reply.of("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
        server.close();
    }

    @Test
    void requestIsNotSentOnAConnectionThatItsPeerHasClosed() throws Exception {
        HttpClientRequest first = await(open("first"));
        assertThat(await(send(first)).toString(), is("body"));
        PendingClose close = new PendingClose();
        Channel channel = Connections.channelOf(first.connection()).orElseThrow();
        // On its event loop, so that the handler is in place before the next read.
        channel.eventLoop().submit(() -> channel.pipeline().addFirst(close)).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        server.used().get(0).shutdownOutput();
        close.requested.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertThat(PeerCloseObserver.isClosedByPeer(first.connection()), is(true));

        HttpClientRequest second = await(open("second"));
        assertThat(second.connection(), is(not(first.connection())));
        assertThat(await(send(second)).toString(), is("body"));
        assertThat(server.connections(), is(2L));
    }

    private Future<HttpClientRequest> open(String id) {
        RequestOptions options = new RequestOptions().setHost("127.0.0.1").setPort(server.port());
        return pool.reserve().request(options, Optional.of(id));
    }

    /** Sends the request on its event loop, as the router does, which reads no response before its body is asked for. */
    private Future<Buffer> send(HttpClientRequest request) {
        HttpConnection connection = request.connection();
        Promise<Buffer> body = Promise.promise();
        Connections.channelOf(connection)
                .orElseThrow()
                .eventLoop()
                .execute(() -> request.send().compose(HttpClientResponse::body).onComplete(body));
        return body.future().onComplete(ignored -> pool.release(connection));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    /** Delays the first close of a channel until the next, as TLS delays it while its closure alert is written. */
    private static final class PendingClose extends ChannelOutboundHandlerAdapter {
        private final CompletableFuture<Void> requested = new CompletableFuture<>();

        @Override
        public void close(ChannelHandlerContext context, ChannelPromise promise) {
            if (!requested.complete(null)) {
                context.close(promise);
            }
        }
    }
}
