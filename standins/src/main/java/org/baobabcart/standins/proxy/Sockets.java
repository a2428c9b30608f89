package org.baobabcart.standins.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** Ends sockets in ways that Vert.x has no call for. */
final class Sockets {
    private Sockets() {}

    /** Resets a connection: closes it without lingering, which drops what was not sent and tells the other end so. */
    static void reset(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
