package wharfhinge.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests binding a port that another process holds and that cannot be shared. */
@Timeout(20)
class PortBindingTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void shutDownEventLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Channel bind(int port, long timeoutMillis, Runnable beforeAttempt) throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter());
        return PortBinding.bindWithin(TimeUnit.MILLISECONDS.toNanos(timeoutMillis), () -> {
            beforeAttempt.run();
            return bootstrap.bind("127.0.0.1", port);
        });
    }

    @Test
    void portInUse_isBoundOnceReleased() throws Exception {
        ServerSocket previousOwner = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        int[] attempts = {0};
        Channel bound = bind(previousOwner.getLocalPort(), 10_000, () -> {
            if (++attempts[0] == 3) {
                try {
                    previousOwner.close();
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            }
        });
        assertEquals(3, attempts[0]);
        assertEquals(previousOwner.getLocalPort(), ((InetSocketAddress) bound.localAddress()).getPort());
    }

    @Test
    void portNeverReleased_failsWithReason() throws Exception {
        try (ServerSocket previousOwner = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertThrows(BindException.class, () -> bind(previousOwner.getLocalPort(), 200, () -> {}));
            assertThrows(BindException.class, () -> bind(previousOwner.getLocalPort(), 0, () -> {}));
        }
    }
}
