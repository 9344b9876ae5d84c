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

/** A port that a former process holds, where ports can't be shared. */
@Timeout(20)
class PortBindingTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Channel bind(int port, long withinMillis, Runnable betweenTries) throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter());
        return PortBinding.bindWithin(TimeUnit.MILLISECONDS.toNanos(withinMillis), () -> {
            betweenTries.run();
            return bootstrap.bind("127.0.0.1", port);
        });
    }

    @Test
    void portInUse_isBoundOnceReleased() throws Exception {
        ServerSocket former = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        int[] tries = {0};
        Channel bound = bind(former.getLocalPort(), 10_000, () -> {
            if (++tries[0] == 3) {
                try {
                    former.close();
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            }
        });
        assertEquals(3, tries[0]);
        assertEquals(former.getLocalPort(), ((InetSocketAddress) bound.localAddress()).getPort());
    }

    @Test
    void portNeverReleased_failsWithReason() throws Exception {
        try (ServerSocket former = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertThrows(BindException.class, () -> bind(former.getLocalPort(), 200, () -> {}));
            assertThrows(BindException.class, () -> bind(former.getLocalPort(), 0, () -> {}));
        }
    }
}
