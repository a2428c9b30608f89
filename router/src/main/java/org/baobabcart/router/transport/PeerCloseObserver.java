package org.baobabcart.router.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.ssl.SslCloseCompletionEvent;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.AttributeKey;
import io.vertx.core.http.HttpConnection;

/**
 * Observes whether the peer of a connection has closed it in order: by the end of its TCP stream and, with TLS, by a
 * closure alert before that. A reset, a failed write, a timeout and any close on this side are not a close by the peer.
 *
 * <p>Netty reports the end of the peer's stream as an event of its own only if half-closed connections are allowed;
 * otherwise it closes the channel in the same way as after a failed write. The observer closes the channel itself once
 * the event has been handled.
 */
public final class PeerCloseObserver extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<PeerCloseObserver> OBSERVER = AttributeKey.valueOf(PeerCloseObserver.class, "");

    private final boolean secure;
    private boolean closureAlertReceived;
    private boolean failed;
    private volatile boolean closedByPeer;

    private PeerCloseObserver(boolean secure) {
        this.secure = secure;
    }

    /** Observes a connection on which nothing has been received yet. */
    public static void observe(HttpConnection connection) {
        Connections.channelOf(connection).ifPresent(PeerCloseObserver::observe);
    }

    private static void observe(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        ChannelHandlerContext tls = pipeline.context(SslHandler.class);
        PeerCloseObserver observer = new PeerCloseObserver(tls != null);
        channel.attr(OBSERVER).set(observer);
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        if (tls == null) {
            pipeline.addFirst(observer);
        } else {
            pipeline.addAfter(tls.name(), null, observer);
        }
    }

    /** Returns whether the peer has closed an observed connection in order. May be called from any thread. */
    public static boolean isClosedByPeer(HttpConnection connection) {
        return Connections.channelOf(connection)
                .map(channel -> channel.attr(OBSERVER).get())
                .filter(observer -> observer.closedByPeer)
                .isPresent();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Netty also reports the end of the input after a read has failed.
        failed = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof SslCloseCompletionEvent closure && closure.isSuccess()) {
            closureAlertReceived = true;
        }
        boolean inputEnded = event instanceof ChannelInputShutdownEvent;
        if (inputEnded) {
            closedByPeer = !failed && (closureAlertReceived || !secure);
        }
        context.fireUserEventTriggered(event);
        if (inputEnded) {
            context.close();
        }
    }
}
