package wharfhinge.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import wharfhinge.engine.PeerTransport;

/**
 * Short messages between gateways, a datagram each: {@code WHP1}, the sender's number in four bytes, then at most 256
 * bytes. They may be lost or doubled, and anyone who reaches the port can forge one: they are hints, never facts.
 */
final class UdpPeers implements PeerTransport, AutoCloseable {
    private static final int MAGIC = 0x57485031;
    private static final int MOST_BYTES = 256;

    private final int own;
    private final Map<Integer, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Channel channel;

    /** Listens on the address that the list gives for {@code own}. */
    UdpPeers(
            int own,
            Map<Integer, String> peers,
            EventLoopGroup group,
            Class<? extends DatagramChannel> type,
            BiConsumer<Integer, byte[]> inbox)
            throws InterruptedException {
        this.own = own;
        peers.forEach((number, address) -> {
            int colon = address.lastIndexOf(':');
            addresses.put(
                    number,
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        });
        this.channel = new Bootstrap()
                .group(group)
                .channel(type)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        ByteBuf in = packet.content();
                        if (in.readableBytes() >= 8 && in.readableBytes() <= 8 + MOST_BYTES && in.readInt() == MAGIC) {
                            int from = in.readInt();
                            if (addresses.containsKey(from) && from != own) {
                                byte[] payload = new byte[in.readableBytes()];
                                in.readBytes(payload);
                                inbox.accept(from, payload);
                            }
                        }
                    }
                })
                .bind(addresses.getOrDefault(own, new InetSocketAddress("127.0.0.1", 0)))
                .sync()
                .channel();
    }

    @Override
    public void send(int peer, byte[] payload) {
        if (payload.length > MOST_BYTES) {
            throw new IllegalArgumentException("a message of " + payload.length + " bytes, allowed: " + MOST_BYTES);
        }
        addresses.forEach((number, address) -> {
            if (number != own && (peer == -1 || peer == number)) {
                channel.writeAndFlush(new DatagramPacket(
                        Unpooled.buffer(8 + payload.length)
                                .writeInt(MAGIC)
                                .writeInt(own)
                                .writeBytes(payload),
                        address));
            }
        });
    }

    @Override
    public void close() {
        channel.close();
    }
}
