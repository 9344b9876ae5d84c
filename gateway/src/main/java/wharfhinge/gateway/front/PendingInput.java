package wharfhinge.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.unix.UnixChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/**
 * Reads what a connection has received since its event loop last polled for input. A connection that is closed in the same task after such a
 * read has found nothing leaves no request unread, however long the event loop waited for a processor after the poll; what remains are the
 * microseconds between the two. To be used on the connection's event loop, outside of a read.
 */
final class PendingInput {
    private static final int READ_BYTES = 8 << 10;
    private static final int NO_INPUT = 0;

    private PendingInput() {}

    /**
     * Reads once and passes what was received to the pipeline.
     *
     * @return whether input was found; false also if the client has closed the connection or it is broken
     */
    static boolean read(Channel channel) {
        ByteBuf input = channel.alloc().directBuffer(READ_BYTES, READ_BYTES);
        int count = NO_INPUT;
        try {
            count = receive(channel, input.nioBuffer(0, READ_BYTES));
        } catch (IOException e) {
            // broken: the caller closes it
        }
        if (count <= NO_INPUT) {
            input.release();
            return false;
        }
        channel.pipeline().fireChannelRead(input.writerIndex(count));
        channel.pipeline().fireChannelReadComplete();
        return true;
    }

    private static int receive(Channel channel, ByteBuffer buffer) throws IOException {
        if (channel instanceof UnixChannel unixChannel) {
            return unixChannel.fd().read(buffer, buffer.position(), buffer.limit());
        }
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            return ((ReadableByteChannel) unsafe.ch()).read(buffer);
        }
        return NO_INPUT;
    }
}
