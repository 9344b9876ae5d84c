package wharfhinge.gateway.front;

import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.StandardSocketOptions;

/**
 * The socket option by which two processes listen on one port (SO_REUSEPORT), so that a gateway can start before the one that it replaces
 * has stopped.
 */
public final class PortSharing {
    private PortSharing() {}

    /**
     * The option of a type of server channel, to be set to true before the channel is bound.
     *
     * @throws UnsupportedOperationException if channels of the type can't share a port
     */
    public static ChannelOption<Boolean> option(Class<? extends ServerChannel> channelType) {
        if (EpollServerSocketChannel.class.isAssignableFrom(channelType)) {
            return EpollChannelOption.SO_REUSEPORT;
        }
        if (NioServerSocketChannel.class.isAssignableFrom(channelType)) {
            return NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);
        }
        throw new UnsupportedOperationException(
                "the port can't be shared with another process by a " + channelType.getSimpleName());
    }
}
