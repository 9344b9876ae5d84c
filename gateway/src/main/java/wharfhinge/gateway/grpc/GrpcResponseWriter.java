package wharfhinge.gateway.grpc;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.util.ReferenceCountUtil;
import wharfhinge.engine.ResponseSink;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.protocol.FinalAnswer;
import wharfhinge.protocol.grpc.CallReply;

/**
 * Writes the response of one call. gRPC's observers are not thread-safe: only the engine's thread writes whole responses, and only the
 * worker connection's I/O thread writes the parts of a stream.
 */
final class GrpcResponseWriter implements ResponseSink {
    private final ServerCallStreamObserver<CallReply> observer;
    private Runnable requestNextPart; // lets the worker send more; guarded by this, null if no request is due

    GrpcResponseWriter(ServerCallStreamObserver<CallReply> observer) {
        this.observer = observer;
    }

    /** Lets the worker send more if the client is ready for it, so that a slow client slows down the worker. */
    void onReady() {
        Runnable request = null;
        synchronized (this) {
            if (observer.isReady()) {
                request = requestNextPart;
                requestNextPart = null;
            }
        }
        if (request != null) {
            request.run();
        }
    }

    private static CallReply.Builder reply(ByteBuf body, CharSequence contentType, ResponseMetadata metadata) {
        CallReply.Builder reply = CallReply.newBuilder().setAttempts(metadata.attempts());
        if (body != null) {
            reply.setBody(ByteString.copyFrom(ByteBufUtil.getBytes(body)));
        }
        if (contentType != null) {
            reply.setContentType(contentType.toString());
        }
        if (metadata.worker() != null) {
            reply.setWorker(metadata.worker());
        }
        return reply;
    }

    @Override
    public void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata metadata) {
        try {
            if (!observer.isCancelled()) {
                observer.onNext(reply(body, contentType, metadata).build());
                observer.onCompleted();
            }
        } finally {
            ReferenceCountUtil.release(body);
        }
    }

    @Override
    public void sendError(FinalAnswer answer, long retryAfterNanos, ResponseMetadata metadata) {
        if (!observer.isCancelled()) {
            observer.onError(GatewayService.status(answer)
                    .withDescription(answer.word() + ": " + String.join(", ", metadata.attemptSummaries()))
                    .asRuntimeException(GatewayService.trailers(answer, retryAfterNanos, metadata)));
        }
    }

    @Override
    public void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata metadata) {
        observer.onNext(reply(null, stream.contentType(), metadata).build());
        stream.subscribe(new WorkerTransport.StreamConsumer() {
            @Override
            public void onData(ByteBuf part, Runnable onConsumed) {
                try {
                    if (observer.isCancelled()) {
                        return;
                    }
                    observer.onNext(CallReply.newBuilder()
                            .setBody(ByteString.copyFrom(ByteBufUtil.getBytes(part)))
                            .build());
                } finally {
                    ReferenceCountUtil.release(part);
                }
                synchronized (GrpcResponseWriter.this) {
                    requestNextPart = onConsumed;
                }
                onReady();
            }

            @Override
            public void onEnd(boolean isComplete) {
                if (observer.isCancelled()) {
                    return;
                }
                if (isComplete) {
                    observer.onCompleted();
                } else {
                    observer.onError(Status.DATA_LOSS
                            .withDescription("the worker ended the stream before the response was complete")
                            .asRuntimeException());
                }
            }
        });
    }
}
