package org.baobabcart.standins.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** Socket operations that the Vert.x API does not offer. */
final class Sockets {
    private Sockets() {}

    /** Closes a connection with a linger time of zero, which discards unsent data and sends a TCP reset. */
    static void reset(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
