package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;
import wharfhinge.engine.WorkerTransport;

/**
 * A streamed answer on its way to its client. What waits here is bounded by the stream's flow-control window: the
 * worker may send more only once the client's side says that a part was taken.
 */
final class WorkerStream implements WorkerTransport.ResponseStream {
    private final Exchange exchange;
    private final CharSequence contentType;
    private final Queue<ByteBuf> early = new ArrayDeque<>();
    private WorkerTransport.StreamConsumer sink;
    private boolean over;
    private boolean whole;

    WorkerStream(Exchange exchange, CharSequence contentType) {
        this.exchange = exchange;
        this.contentType = contentType;
    }

    @Override
    public void subscribe(WorkerTransport.StreamConsumer to) {
        exchange.connection.execute(() -> {
            sink = to;
            for (ByteBuf part = early.poll(); part != null; part = early.poll()) {
                pass(part);
            }
            if (over) {
                to.onEnd(whole);
            }
        });
    }

    @Override
    public void cancel() {
        exchange.connection.execute(() -> {
            exchange.connection.cancel(exchange);
            early.forEach(ByteBuf::release);
            early.clear();
        });
    }

    @Override
    public CharSequence contentType() {
        return contentType;
    }

    /** Takes a part over. */
    void data(ByteBuf part) {
        if (sink == null) {
            early.add(part);
        } else {
            pass(part);
        }
    }

    private void pass(ByteBuf part) {
        int bytes = part.readableBytes();
        sink.onData(part, () -> exchange.connection.execute(() -> exchange.connection.taken(exchange, bytes)));
    }

    void ended(boolean all) {
        over = true;
        whole = all;
        if (sink != null) {
            sink.onEnd(all);
        }
    }
}
