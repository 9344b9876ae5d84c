package wharfhinge.client.grpc;

import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContext;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import wharfhinge.client.Call;
import wharfhinge.client.Transport;
import wharfhinge.client.core.AttemptResult;
import wharfhinge.protocol.grpc.CallReply;
import wharfhinge.protocol.grpc.CallRequest;
import wharfhinge.protocol.grpc.GatewayGrpc;
import wharfhinge.protocol.grpc.GrpcProtocol;

/**
 * Sends attempts over gRPC, with one channel per gateway. An attempt whose headers are not sent within the connect timeout ends as not
 * sent. gRPC itself retries only streams that a gateway did not process. Thread-safe.
 */
public final class GrpcTransport implements Transport {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ConcurrentHashMap<String, ManagedChannel> channels = new ConcurrentHashMap<>();
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "wharfhinge-grpc");
        thread.setDaemon(true);
        return thread;
    });
    private final Duration connectTimeout;
    private final int maxResponseBytes;
    private final SslContext tls;
    private final Supplier<String> token;

    /**
     * Creates a transport.
     *
     * @param connectTimeout time limit for sending an attempt's headers; after it the attempt ends as not sent
     * @param tls            the TLS context, created with {@link GrpcSslContexts}, or null without TLS
     * @param token          supplies the bearer token (or null) for each attempt; null if no tokens are used
     */
    public GrpcTransport(Duration connectTimeout, int maxResponseBytes, SslContext tls, Supplier<String> token) {
        this.token = token == null ? () -> null : token;
        timers.setRemoveOnCancelPolicy(true);
        this.connectTimeout = connectTimeout;
        this.maxResponseBytes = maxResponseBytes;
        this.tls = tls;
    }

    private ManagedChannel channel(String gateway) {
        return channels.computeIfAbsent(gateway, address -> {
            NettyChannelBuilder builder = NettyChannelBuilder.forTarget("dns:///" + address)
                    .directExecutor()
                    .maxInboundMessageSize(maxResponseBytes);
            return (tls == null ? builder.usePlaintext() : builder.sslContext(tls)).build();
        });
    }

    @Override
    public AttemptHandle send(String gateway, Call call, long remainingNanos, boolean repeat, Listener listener) {
        Exchange exchange = new Exchange(gateway, listener);
        exchange.start(call, remainingNanos, repeat);
        return exchange;
    }

    /** One attempt. Reports its end to the listener once, or not at all after it was abandoned. */
    private final class Exchange implements AttemptHandle {
        private final String gateway;
        private final Listener listener;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile boolean sent;
        private boolean streaming;
        private ClientCall<CallRequest, CallReply> rpc;
        private volatile ScheduledFuture<?> connectTimer; // null on an established connection

        Exchange(String gateway, Listener listener) {
            this.gateway = gateway;
            this.listener = listener;
        }

        void start(Call call, long remainingNanos, boolean repeat) {
            CallOptions deadlineOptions = call.streams()
                    ? CallOptions.DEFAULT // an RPC deadline would also end a stream that has started
                    : CallOptions.DEFAULT.withDeadlineAfter(remainingNanos, TimeUnit.NANOSECONDS);
            CallOptions options = deadlineOptions.withStreamTracerFactory(new ClientStreamTracer.Factory() {
                @Override
                public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
                    return new ClientStreamTracer() {
                        @Override
                        public void outboundHeaders() {
                            sent = true;
                        }
                    };
                }
            });
            ManagedChannel channel = channel(gateway);
            boolean connected = channel.getState(false) == ConnectivityState.READY;
            rpc = channel.newCall(
                    call.streams() ? GatewayGrpc.getStreamMethod() : GatewayGrpc.getCallMethod(), options);
            streaming = call.streams();
            Metadata headers = new Metadata();
            String bearerToken = token.get();
            if (bearerToken != null) {
                headers.put(GrpcProtocol.AUTHORIZATION, "Bearer " + bearerToken);
            }
            rpc.start(new ResponseListener(), headers);
            rpc.request(streaming ? 1 : 2); // parts are requested one by one
            rpc.sendMessage(request(call, repeat, remainingNanos));
            rpc.halfClose();
            if (connected) {
                return; // headers are sent at once: saves a timer per call
            }
            connectTimer = timers.schedule(
                    () -> {
                        if (!sent && ended.compareAndSet(false, true)) {
                            listener.onEnded(Transport.Reply.withoutBody(
                                    AttemptResult.NOT_SENT, gateway + ": request not sent within the connect timeout"));
                            rpc.cancel("not sent within the connect timeout", null);
                        }
                    },
                    connectTimeout.toMillis(),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void abandon() {
            ended.set(true);
            ScheduledFuture<?> timer = connectTimer;
            if (timer != null) {
                timer.cancel(false);
            }
            rpc.cancel("nobody waits", null);
        }

        private void end(Transport.Reply reply) {
            if (ended.compareAndSet(false, true)) {
                listener.onEnded(reply);
            }
        }

        private final class ResponseListener extends ClientCall.Listener<CallReply> {
            private CallReply reply;

            @Override
            public void onMessage(CallReply message) {
                if (!streaming) {
                    reply = message;
                    return;
                }
                if (reply == null) {
                    reply = message.toBuilder().clearBody().build();
                    if (!ended.get()) {
                        listener.onStreamStarted(
                                message.getWorker(),
                                message.getContentType().isEmpty() ? null : message.getContentType());
                    }
                }
                if (message.getBody().isEmpty() || ended.get()) {
                    rpc.request(1);
                } else {
                    listener.onPart(message.getBody().toByteArray(), () -> rpc.request(1));
                }
            }

            @Override
            public void onClose(Status status, Metadata trailers) {
                ScheduledFuture<?> timer = connectTimer;
                if (timer != null) {
                    timer.cancel(false);
                }
                if (status.isOk() && reply != null) {
                    end(new Transport.Reply(
                            AttemptResult.SERVED,
                            reply.getBody().toByteArray(),
                            reply.getContentType(),
                            reply.getWorker(),
                            0,
                            null));
                } else if (status.getCode() != Status.Code.DEADLINE_EXCEEDED) { // left to the client's deadline timer
                    end(errorReply(status, trailers == null ? new Metadata() : trailers));
                }
            }
        }

        private Transport.Reply errorReply(Status status, Metadata trailers) {
            String answer = trailers.get(GrpcProtocol.ANSWER);
            AttemptResult result = "refused".equals(answer)
                    ? AttemptResult.REFUSED
                    : "failed".equals(answer)
                            ? AttemptResult.FAILED
                            : switch (status.getCode()) {
                                case INVALID_ARGUMENT,
                                        NOT_FOUND,
                                        UNIMPLEMENTED,
                                        RESOURCE_EXHAUSTED,
                                        UNAUTHENTICATED,
                                        PERMISSION_DENIED,
                                        OUT_OF_RANGE -> AttemptResult.INVALID;
                                default -> sent ? AttemptResult.BROKEN : AttemptResult.NOT_SENT;
                            };
            String retryAfterMillis = trailers.get(GrpcProtocol.RETRY_AFTER_MS);
            long retryAfterNanos = retryAfterMillis != null && retryAfterMillis.matches("[0-9]{1,9}")
                    ? Long.parseLong(retryAfterMillis) * NANOS_PER_MILLI
                    : 0;
            String reason = trailers.get(GrpcProtocol.REASON);
            return new Transport.Reply(
                    result,
                    new byte[0],
                    null,
                    null,
                    retryAfterNanos,
                    reason != null
                            ? reason
                            : result == AttemptResult.INVALID ? status.getDescription() : gateway + ": " + status);
        }
    }

    private static CallRequest request(Call call, boolean repeat, long remainingNanos) {
        CallRequest.Builder builder = CallRequest.newBuilder()
                .setFunction(call.function())
                .setRequestClass(call.requestClass())
                .setCostUs(call.costUs())
                .setMemoryMb(call.memoryMb())
                .setLanes(call.lanes())
                .setLoadMs(call.loadMillis())
                .setRepeat(repeat)
                .setDeadlineMs(call.streams() ? Math.max(1, remainingNanos / NANOS_PER_MILLI) : 0)
                .setWrite(call.write())
                .setBody(ByteString.copyFrom(call.body()));
        if (call.tenant() != null) {
            builder.setTenant(call.tenant());
        }
        if (call.id() != null) {
            builder.setId(call.id());
        }
        if (call.contentType() != null) {
            builder.setContentType(call.contentType());
        }
        return builder.build();
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
        timers.shutdownNow();
    }
}
