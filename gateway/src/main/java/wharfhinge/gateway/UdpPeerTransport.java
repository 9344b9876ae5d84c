package wharfhinge.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import wharfhinge.engine.PeerTransport;

/**
 * Sends messages between gateways over UDP, one datagram each: {@code WHP1}, the sender's number in four bytes, then a payload of at most
 * 256 bytes. A message may be lost, duplicated or forged by anyone who can reach the port, so receivers must treat it as a hint only.
 */
final class UdpPeerTransport implements PeerTransport, AutoCloseable {
    private static final int MAGIC = 0x57485031; // WHP1
    private static final int HEADER_BYTES = 8;
    private static final int MAX_PAYLOAD_BYTES = 256;
    private static final int ALL_PEERS = -1;

    private final int ownNumber;
    private final Map<Integer, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Channel channel;

    /** Binds the address of {@code ownNumber} in {@code peers}. {@code messageListener} is called on an I/O thread. */
    UdpPeerTransport(
            int ownNumber,
            Map<Integer, String> peers,
            NettyResources netty,
            BiConsumer<Integer, byte[]> messageListener)
            throws InterruptedException {
        this.ownNumber = ownNumber;
        peers.forEach((number, address) -> addresses.put(number, parse(address)));
        this.channel = new Bootstrap()
                .group(netty.ioGroup())
                .channel(netty.datagramChannelType())
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        receive(packet.content(), messageListener);
                    }
                })
                .bind(addresses.getOrDefault(ownNumber, new InetSocketAddress("127.0.0.1", 0)))
                .sync()
                .channel();
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Passes on the payload of a valid datagram from a configured peer. Drops any other datagram. */
    private void receive(ByteBuf datagram, BiConsumer<Integer, byte[]> messageListener) {
        int bytes = datagram.readableBytes();
        if (bytes < HEADER_BYTES || bytes > HEADER_BYTES + MAX_PAYLOAD_BYTES || datagram.readInt() != MAGIC) {
            return;
        }
        int sender = datagram.readInt();
        if (addresses.containsKey(sender) && sender != ownNumber) {
            byte[] payload = new byte[datagram.readableBytes()];
            datagram.readBytes(payload);
            messageListener.accept(sender, payload);
        }
    }

    @Override
    public void send(int peer, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(
                    "peer message: found " + payload.length + " bytes, allowed: " + MAX_PAYLOAD_BYTES);
        }
        addresses.forEach((number, address) -> {
            if (number != ownNumber && (peer == ALL_PEERS || peer == number)) {
                channel.writeAndFlush(new DatagramPacket(encode(payload), address));
            }
        });
    }

    private ByteBuf encode(byte[] payload) {
        return Unpooled.buffer(HEADER_BYTES + payload.length)
                .writeInt(MAGIC)
                .writeInt(ownNumber)
                .writeBytes(payload);
    }

    @Override
    public void close() {
        channel.close();
    }
}
