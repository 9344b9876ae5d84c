package wharfhinge.gateway;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;

/** The event loops of one gateway and the matching channel types: epoll if the platform supports it, otherwise NIO. */
final class NettyResources implements AutoCloseable {
    private static final int ACCEPTOR_THREADS = 1;
    private static final int IO_THREADS = 4;

    private final boolean epoll = Epoll.isAvailable();
    private final EventLoopGroup acceptorGroup = newGroup(ACCEPTOR_THREADS);
    private final EventLoopGroup ioGroup = newGroup(IO_THREADS);

    private EventLoopGroup newGroup(int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, epoll ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /** Returns the event loop that accepts connections. */
    EventLoopGroup acceptorGroup() {
        return acceptorGroup;
    }

    /** Returns the event loops that serve all connections. */
    EventLoopGroup ioGroup() {
        return ioGroup;
    }

    Class<? extends Channel> channelType() {
        return epoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    Class<? extends ServerChannel> serverChannelType() {
        return epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    Class<? extends DatagramChannel> datagramChannelType() {
        return epoll ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }

    /** Shuts the event loops down after a quiet period in which pending writes are flushed. */
    @Override
    public void close() {
        acceptorGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        ioGroup.shutdownGracefully(50, 1000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2000);
    }
}
