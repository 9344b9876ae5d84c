package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;
import wharfhinge.engine.WorkerTransport;

/**
 * A worker's streamed response. The buffered parts are bounded by the stream's flow-control window: the worker may send more
 * only once the consumer reports that it has consumed a part. Confined to the connection's event loop.
 */
final class WorkerResponseStream implements WorkerTransport.ResponseStream {
    private final Exchange exchange;
    private final CharSequence contentType;
    private final Queue<ByteBuf> bufferedParts = new ArrayDeque<>();
    private WorkerTransport.StreamConsumer consumer;
    private boolean ended;
    private boolean complete;

    WorkerResponseStream(Exchange exchange, CharSequence contentType) {
        this.exchange = exchange;
        this.contentType = contentType;
    }

    @Override
    public void subscribe(WorkerTransport.StreamConsumer subscriber) {
        exchange.connection().execute(() -> {
            consumer = subscriber;
            for (ByteBuf part = bufferedParts.poll(); part != null; part = bufferedParts.poll()) {
                deliver(part);
            }
            if (ended) {
                subscriber.onEnd(complete);
            }
        });
    }

    @Override
    public void cancel() {
        exchange.connection().execute(() -> {
            exchange.connection().cancel(exchange);
            bufferedParts.forEach(ByteBuf::release);
            bufferedParts.clear();
        });
    }

    @Override
    public CharSequence contentType() {
        return contentType;
    }

    /** Delivers a part, or buffers it until there is a consumer. Takes ownership of the part. */
    void onData(ByteBuf part) {
        if (consumer == null) {
            bufferedParts.add(part);
        } else {
            deliver(part);
        }
    }

    private void deliver(ByteBuf part) {
        int bytes = part.readableBytes();
        consumer.onData(part, () -> exchange.connection()
                .execute(() -> exchange.connection().onPartConsumed(exchange, bytes)));
    }

    /** Ends the stream; {@code isComplete} is false if the worker ended it early. */
    void onEnd(boolean isComplete) {
        ended = true;
        complete = isComplete;
        if (consumer != null) {
            consumer.onEnd(isComplete);
        }
    }
}
