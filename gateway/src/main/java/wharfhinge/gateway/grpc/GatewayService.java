package wharfhinge.gateway.grpc;

import com.google.protobuf.ByteString;
import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ReferenceCountUtil;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.engine.ChainCall;
import wharfhinge.engine.ClientCall;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.ResponseSink;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.gateway.front.CallIngress;
import wharfhinge.gateway.front.ChainJsonCodec;
import wharfhinge.gateway.tls.CallAuthenticator;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.FinalAnswer;
import wharfhinge.protocol.ProtocolException;
import wharfhinge.protocol.grpc.CallReply;
import wharfhinge.protocol.grpc.CallRequest;
import wharfhinge.protocol.grpc.ChainReply;
import wharfhinge.protocol.grpc.ChainRequest;
import wharfhinge.protocol.grpc.GatewayGrpc;
import wharfhinge.protocol.grpc.GrpcProtocol;

/** Calls over gRPC, handed to the same loop as those over HTTP. No method blocks; answers are written by the loop's thread. */
final class GatewayService extends GatewayGrpc.GatewayImplBase {
    private static final long MS = 1_000_000L;

    private final CallIngress intake;

    GatewayService(CallIngress intake) {
        this.intake = intake;
    }

    @Override
    public void call(CallRequest request, StreamObserver<CallReply> to) {
        begin(request, (ServerCallStreamObserver<CallReply>) to, false);
    }

    @Override
    public void stream(CallRequest request, StreamObserver<CallReply> to) {
        begin(request, (ServerCallStreamObserver<CallReply>) to, true);
    }

    private void begin(CallRequest request, ServerCallStreamObserver<CallReply> to, boolean streams) {
        CallHead head;
        RequestClass type;
        try {
            head = head(request);
            type = intake.classOf(head);
            if (type.streaming() != streams) {
                throw new ProtocolException(
                        ClientProtocol.CLASS.toString(),
                        type.name(),
                        "Call for classes that are answered whole, Stream for those " + "that stream");
            }
        } catch (ProtocolException e) {
            to.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
        }
        CallAuthenticator.Authentication who =
                intake.authenticate(Callers.SESSION.get(), Callers.AUTHORIZATION.get(), head.tenant());
        if (who.fault() != CallAuthenticator.Fault.NONE) {
            to.onError(status(who).asRuntimeException());
            return;
        }
        head = head.of(who.tenant());
        Deadline told = Context.current().getDeadline();
        long left = told == null
                ? type.maxDeadlineNanos()
                : Math.min(type.maxDeadlineNanos(), told.timeRemaining(TimeUnit.NANOSECONDS));
        left = head.deadlineMillis() > 0 ? Math.min(left, head.deadlineMillis() * MS) : left;
        ByteBuf body = Unpooled.wrappedBuffer(request.getBody().asReadOnlyByteBuffer());
        Answer answer = new Answer(to);
        to.setOnReadyHandler(answer::ready);
        ClientCall call = new ClientCall(
                head,
                type.name(),
                Math.max(1, left),
                System.nanoTime(),
                body,
                request.getContentType().isEmpty() ? null : request.getContentType(),
                answer);
        to.setOnCancelHandler(() -> intake.engine().onClientCancelled(call));
        DispatchEngine.SubmissionResult offered = intake.engine().submit(call);
        if (offered.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
            ReferenceCountUtil.release(body);
            answer.sendError(FinalAnswer.REFUSED, offered.retryAfterNanos(), CallIngress.rejectedMetadata(offered));
        }
    }

    /** The same checks as on the headers of HTTP. */
    private static CallHead head(CallRequest r) throws ProtocolException {
        Map<String, String> fields = new LinkedHashMap<>();
        put(fields, ClientProtocol.CLASS, r.getRequestClass());
        put(fields, ClientProtocol.DEADLINE_MS, r.getDeadlineMs() == 0 ? "" : Long.toUnsignedString(r.getDeadlineMs()));
        put(fields, ClientProtocol.TENANT, r.getTenant());
        put(fields, ClientProtocol.ID, r.getId());
        put(fields, ClientProtocol.COST_US, r.getCostUs() == 0 ? "" : Long.toUnsignedString(r.getCostUs()));
        put(fields, ClientProtocol.MEMORY_MB, r.getMemoryMb() == 0 ? "" : Double.toString(r.getMemoryMb()));
        put(fields, ClientProtocol.LANES, r.getLanes() == 0 ? "" : Integer.toUnsignedString(r.getLanes()));
        put(fields, ClientProtocol.LOAD_MS, r.getLoadMs() == 0 ? "" : Double.toString(r.getLoadMs()));
        put(fields, ClientProtocol.REPEAT, r.getRepeat() ? "1" : "");
        put(fields, ClientProtocol.WRITE, r.getWrite() ? "1" : "");
        return CallHead.parse(ClientProtocol.CALL_PATH + r.getFunction(), name -> fields.get(name.toString()));
    }

    private static void put(Map<String, String> fields, CharSequence name, String value) {
        if (!value.isEmpty()) {
            fields.put(name.toString(), value);
        }
    }

    private static Status status(CallAuthenticator.Authentication who) {
        return (who.fault() == CallAuthenticator.Fault.OTHER_TENANT ? Status.PERMISSION_DENIED : Status.UNAUTHENTICATED)
                .withDescription(who.message());
    }

    /** Refused: a repeat is harmless, which UNAVAILABLE says. Failed: it may have run, which UNKNOWN says. */
    private static Status status(FinalAnswer answer) {
        return answer == FinalAnswer.REFUSED ? Status.UNAVAILABLE : Status.UNKNOWN;
    }

    private static Metadata trailers(FinalAnswer answer, long coolDownNanos, ResponseSink.ResponseMetadata facts) {
        Metadata trailers = new Metadata();
        trailers.put(GrpcProtocol.ANSWER, answer.word());
        trailers.put(GrpcProtocol.ATTEMPTS, Integer.toString(facts.attempts()));
        if (!facts.attemptSummaries().isEmpty()) {
            trailers.put(GrpcProtocol.REASON, String.join(", ", facts.attemptSummaries()));
        }
        if (coolDownNanos > 0) {
            trailers.put(GrpcProtocol.RETRY_AFTER_MS, Long.toString(Math.max(1, coolDownNanos / MS)));
        }
        return trailers;
    }

    @Override
    public void chain(ChainRequest request, StreamObserver<ChainReply> to) {
        ServerCallStreamObserver<ChainReply> observer = (ServerCallStreamObserver<ChainReply>) to;
        ChainCall[] self = new ChainCall[1];
        try {
            self[0] = intake.chains()
                    .read(
                            request.getJson().toByteArray(),
                            "x" + Long.toString(System.nanoTime(), Character.MAX_RADIX),
                            System.nanoTime(),
                            (end, answers) ->
                                    chainEnded(observer, end, ChainJsonCodec.write(self[0].plan(), end, answers)));
        } catch (ChainJsonCodec.InvalidChainException e) {
            to.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
        }
        CallAuthenticator.Authentication who =
                intake.authenticate(Callers.SESSION.get(), Callers.AUTHORIZATION.get(), self[0].tenant());
        if (who.fault() != CallAuthenticator.Fault.NONE) {
            to.onError(status(who).asRuntimeException());
            return;
        }
        self[0] = self[0].withTenant(who.tenant());
        observer.setOnCancelHandler(() -> intake.engine().onClientCancelled(self[0]));
        DispatchEngine.SubmissionResult offered = intake.engine().submit(self[0]);
        if (offered.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
            to.onError(Status.UNAVAILABLE
                    .withDescription("refused")
                    .asRuntimeException(trailers(
                            FinalAnswer.REFUSED, offered.retryAfterNanos(), CallIngress.rejectedMetadata(offered))));
        }
    }

    private static void chainEnded(ServerCallStreamObserver<ChainReply> to, ChainResult end, byte[] json) {
        if (to.isCancelled()) {
            return;
        }
        if (end.kind() == ChainResult.Kind.SERVED) {
            to.onNext(ChainReply.newBuilder().setJson(ByteString.copyFrom(json)).build());
            to.onCompleted();
            return;
        }
        FinalAnswer answer = end.kind() == ChainResult.Kind.REFUSED ? FinalAnswer.REFUSED : FinalAnswer.FAILED;
        Metadata trailers = trailers(
                answer,
                0,
                new ResponseSink.ResponseMetadata(
                        null, end.reason().isEmpty() ? List.of() : List.of(end.reason()), 0, false));
        trailers.put(GrpcProtocol.CHAIN, json);
        to.onError(status(answer).withDescription(answer.word()).asRuntimeException(trailers));
    }

    /** Writes one call's answer; gRPC's observers are not safe for two threads, and the loop's is the only one. */
    private static final class Answer implements ResponseSink {
        private final ServerCallStreamObserver<CallReply> to;
        private Runnable more; // asks the worker for more; guarded by this

        Answer(ServerCallStreamObserver<CallReply> to) {
            this.to = to;
        }

        /** A slow client: the worker is asked for more once it has read. */
        void ready() {
            Runnable go = null;
            synchronized (this) {
                if (to.isReady()) {
                    go = more;
                    more = null;
                }
            }
            if (go != null) {
                go.run();
            }
        }

        private static CallReply.Builder reply(ByteBuf body, CharSequence type, ResponseMetadata facts) {
            CallReply.Builder reply = CallReply.newBuilder().setAttempts(facts.attempts());
            if (body != null) {
                reply.setBody(ByteString.copyFrom(ByteBufUtil.getBytes(body)));
            }
            if (type != null) {
                reply.setContentType(type.toString());
            }
            if (facts.worker() != null) {
                reply.setWorker(facts.worker());
            }
            return reply;
        }

        @Override
        public void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata facts) {
            try {
                if (!to.isCancelled()) {
                    to.onNext(reply(body, contentType, facts).build());
                    to.onCompleted();
                }
            } finally {
                ReferenceCountUtil.release(body);
            }
        }

        @Override
        public void sendError(FinalAnswer answer, long coolDownNanos, ResponseMetadata facts) {
            if (!to.isCancelled()) {
                to.onError(status(answer)
                        .withDescription(answer.word() + ": " + String.join(", ", facts.attemptSummaries()))
                        .asRuntimeException(trailers(answer, coolDownNanos, facts)));
            }
        }

        @Override
        public void startStream(WorkerTransport.ResponseStream from, ResponseMetadata facts) {
            to.onNext(reply(null, from.contentType(), facts).build());
            from.subscribe(new WorkerTransport.StreamConsumer() {
                @Override
                public void onData(ByteBuf part, Runnable taken) {
                    try {
                        if (to.isCancelled()) {
                            return;
                        }
                        to.onNext(CallReply.newBuilder()
                                .setBody(ByteString.copyFrom(ByteBufUtil.getBytes(part)))
                                .build());
                    } finally {
                        ReferenceCountUtil.release(part);
                    }
                    synchronized (Answer.this) {
                        more = taken;
                    }
                    ready();
                }

                @Override
                public void onEnd(boolean whole) {
                    if (to.isCancelled()) {
                        return;
                    }
                    if (whole) {
                        to.onCompleted();
                    } else {
                        to.onError(Status.DATA_LOSS
                                .withDescription("the worker broke off")
                                .asRuntimeException());
                    }
                }
            });
        }
    }
}
