package wharfhinge.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/** Guards against a {@code reuse-port} that has no effect: the gateway that is to replace another then fails to bind. */
@EnabledOnOs(OS.LINUX)
class PortSharingTest {
    @Test
    void nio_bindsPortTwice() throws Exception {
        assertBindsPortTwice(NioIoHandler.newFactory(), NioServerSocketChannel.class);
    }

    @Test
    void epoll_isAvailableAndBindsPortTwice() throws Exception {
        assertTrue(Epoll.isAvailable(), () -> "no native library: " + Epoll.unavailabilityCause());
        assertBindsPortTwice(EpollIoHandler.newFactory(), EpollServerSocketChannel.class);
    }

    @Test
    void channelThatCannotSharePort_isRejected() {
        assertThrows(UnsupportedOperationException.class, () -> PortSharing.option(LocalServerChannel.class));
    }

    private static void assertBindsPortTwice(IoHandlerFactory factory, Class<? extends ServerChannel> type)
            throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, factory);
        try {
            Channel first = bind(group, type, 0);
            int port = ((InetSocketAddress) first.localAddress()).getPort();
            Channel second = bind(group, type, port);
            assertEquals(first.localAddress(), second.localAddress());
            for (Channel channel : List.of(first, second)) {
                channel.close().sync();
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    private static Channel bind(EventLoopGroup group, Class<? extends ServerChannel> type, int port)
            throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(type)
                .option(PortSharing.option(type), true)
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind("127.0.0.1", port)
                .sync()
                .channel();
    }
}
