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
 * Carries tries over gRPC, one channel to a gateway. What was not on its way within the time for connecting ends as not sent. gRPC's own
 * retries are off but for those of streams that a gateway never looked at. Any thread may call.
 */
public final class GrpcTransport implements Transport {
    private static final long MS = 1_000_000L;

    private final ConcurrentHashMap<String, ManagedChannel> channels = new ConcurrentHashMap<>();
    private final ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, r -> {
        Thread t = new Thread(r, "wharfhinge-grpc");
        t.setDaemon(true);
        return t;
    });
    private final Duration connectTimeout;
    private final int maxResponseBytes;
    private final SslContext tls;
    private final Supplier<String> token;

    /**
     * A transport.
     *
     * @param connectTimeout until a try is on its way; then it ends as not sent
     * @param tls           made with {@link GrpcSslContexts}; null without TLS
     * @param token         asked for each try, a bearer token or null; null where there are none
     */
    public GrpcTransport(Duration connectTimeout, int maxResponseBytes, SslContext tls, Supplier<String> token) {
        this.token = token == null ? () -> null : token;
        timers.setRemoveOnCancelPolicy(true);
        this.connectTimeout = connectTimeout;
        this.maxResponseBytes = maxResponseBytes;
        this.tls = tls;
    }

    private ManagedChannel channel(String gateway) {
        return channels.computeIfAbsent(gateway, name -> {
            NettyChannelBuilder builder = NettyChannelBuilder.forTarget("dns:///" + name)
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

    /** One try; told its end once, after it was abandoned not at all. */
    private final class Exchange implements AttemptHandle {
        private final String gateway;
        private final Listener listener;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile boolean sent;
        private boolean streaming;
        private ClientCall<CallRequest, CallReply> rpc;
        private volatile ScheduledFuture<?> connecting; // null on a connection that stood

        Exchange(String gateway, Listener listener) {
            this.gateway = gateway;
            this.listener = listener;
        }

        void start(Call call, long remainingNanos, boolean repeat) {
            CallOptions timed = call.streams()
                    ? CallOptions.DEFAULT // its parts may come for as long as they like
                    : CallOptions.DEFAULT.withDeadlineAfter(remainingNanos, TimeUnit.NANOSECONDS);
            CallOptions options = timed.withStreamTracerFactory(new ClientStreamTracer.Factory() {
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
            String bearer = token.get();
            if (bearer != null) {
                headers.put(GrpcProtocol.AUTHORIZATION, "Bearer " + bearer);
            }
            rpc.start(new ResponseListener(), headers);
            rpc.request(streaming ? 1 : 2); // parts are asked for one by one
            rpc.sendMessage(request(call, repeat, remainingNanos));
            rpc.halfClose();
            if (connected) {
                return; // it is on its way: no timer for each call
            }
            connecting = timers.schedule(
                    () -> {
                        if (!sent && ended.compareAndSet(false, true)) {
                            listener.onEnded(Transport.Reply.withoutBody(
                                    AttemptResult.NOT_SENT, gateway + ": accepted, and says nothing"));
                            rpc.cancel("not on its way in time", null);
                        }
                    },
                    connectTimeout.toMillis(),
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void abandon() {
            ended.set(true);
            ScheduledFuture<?> timer = connecting;
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
                ScheduledFuture<?> timer = connecting;
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
                } else if (status.getCode() != Status.Code.DEADLINE_EXCEEDED) { // the client's own clock ends it
                    end(without(status, trailers == null ? new Metadata() : trailers));
                }
            }
        }

        private Transport.Reply without(Status status, Metadata trailers) {
            String answer = trailers.get(GrpcProtocol.ANSWER);
            AttemptResult end = "refused".equals(answer)
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
            String advice = trailers.get(GrpcProtocol.RETRY_AFTER_MS);
            long adviceNanos = advice != null && advice.matches("[0-9]{1,9}") ? Long.parseLong(advice) * MS : 0;
            String reason = trailers.get(GrpcProtocol.REASON);
            return new Transport.Reply(
                    end,
                    new byte[0],
                    null,
                    null,
                    adviceNanos,
                    reason != null
                            ? reason
                            : end == AttemptResult.INVALID ? status.getDescription() : gateway + ": " + status);
        }
    }

    private static CallRequest request(Call call, boolean repeat, long remainingNanos) {
        CallRequest.Builder to = CallRequest.newBuilder()
                .setFunction(call.function())
                .setRequestClass(call.requestClass())
                .setCostUs(call.costUs())
                .setMemoryMb(call.memoryMb())
                .setLanes(call.lanes())
                .setLoadMs(call.loadMillis())
                .setRepeat(repeat)
                .setDeadlineMs(call.streams() ? Math.max(1, remainingNanos / MS) : 0)
                .setWrite(call.write())
                .setBody(ByteString.copyFrom(call.body()));
        if (call.tenant() != null) {
            to.setTenant(call.tenant());
        }
        if (call.id() != null) {
            to.setId(call.id());
        }
        if (call.contentType() != null) {
            to.setContentType(call.contentType());
        }
        return to.build();
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
        timers.shutdownNow();
    }
}
