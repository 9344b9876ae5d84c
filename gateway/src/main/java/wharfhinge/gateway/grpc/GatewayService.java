package wharfhinge.gateway.grpc;

import com.google.protobuf.ByteString;
import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.buffer.ByteBuf;
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

/** Submits calls and chains over gRPC to the same engine as those over HTTP. Its methods run on I/O threads and never block. */
final class GatewayService extends GatewayGrpc.GatewayImplBase {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CallIngress ingress;

    GatewayService(CallIngress ingress) {
        this.ingress = ingress;
    }

    @Override
    public void call(CallRequest request, StreamObserver<CallReply> observer) {
        submit(request, (ServerCallStreamObserver<CallReply>) observer, false);
    }

    @Override
    public void stream(CallRequest request, StreamObserver<CallReply> observer) {
        submit(request, (ServerCallStreamObserver<CallReply>) observer, true);
    }

    private void submit(CallRequest request, ServerCallStreamObserver<CallReply> observer, boolean streaming) {
        CallHead head;
        RequestClass requestClass;
        try {
            head = head(request);
            requestClass = ingress.classOf(head);
            requireMethodOf(requestClass, streaming);
        } catch (ProtocolException e) {
            observer.onError(
                    Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
        }
        CallAuthenticator.Authentication authentication = ingress.authenticate(
                CredentialsInterceptor.SESSION.get(), CredentialsInterceptor.AUTHORIZATION.get(), head.tenant());
        if (authentication.fault() != CallAuthenticator.Fault.NONE) {
            observer.onError(status(authentication).asRuntimeException());
            return;
        }
        head = head.of(authentication.tenant());
        ByteBuf body = Unpooled.wrappedBuffer(request.getBody().asReadOnlyByteBuffer());
        GrpcResponseWriter responseWriter = new GrpcResponseWriter(observer);
        observer.setOnReadyHandler(responseWriter::onReady);
        ClientCall call = new ClientCall(
                head,
                requestClass.name(),
                deadlineNanos(head, requestClass),
                System.nanoTime(),
                body,
                request.getContentType().isEmpty() ? null : request.getContentType(),
                responseWriter);
        observer.setOnCancelHandler(() -> ingress.engine().onClientCancelled(call));
        DispatchEngine.SubmissionResult submission = ingress.engine().submit(call);
        if (submission.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
            ReferenceCountUtil.release(body);
            responseWriter.sendError(
                    FinalAnswer.REFUSED, submission.retryAfterNanos(), CallIngress.rejectedMetadata(submission));
        }
    }

    private static void requireMethodOf(RequestClass requestClass, boolean streaming) throws ProtocolException {
        if (requestClass.streaming() != streaming) {
            throw new ProtocolException(
                    ClientProtocol.CLASS.toString(),
                    requestClass.name(),
                    "Call for classes whose response is not streamed, Stream for those whose response is");
        }
    }

    /** The client's remaining time, limited to the longest deadline of its request class; at least 1. */
    private static long deadlineNanos(CallHead head, RequestClass requestClass) {
        long deadlineNanos = requestClass.maxDeadlineNanos();
        Deadline clientDeadline = Context.current().getDeadline();
        if (clientDeadline != null) {
            deadlineNanos = Math.min(deadlineNanos, clientDeadline.timeRemaining(TimeUnit.NANOSECONDS));
        }
        if (head.deadlineMillis() > 0) {
            deadlineNanos = Math.min(deadlineNanos, head.deadlineMillis() * NANOS_PER_MILLI);
        }
        return Math.max(1, deadlineNanos);
    }

    /** Validates the fields by the same rules as the headers of an HTTP call. */
    private static CallHead head(CallRequest request) throws ProtocolException {
        Map<String, String> fields = new LinkedHashMap<>();
        putIfSet(fields, ClientProtocol.CLASS, request.getRequestClass());
        putIfSet(
                fields,
                ClientProtocol.DEADLINE_MS,
                request.getDeadlineMs() == 0 ? "" : Long.toUnsignedString(request.getDeadlineMs()));
        putIfSet(fields, ClientProtocol.TENANT, request.getTenant());
        putIfSet(fields, ClientProtocol.ID, request.getId());
        putIfSet(
                fields,
                ClientProtocol.COST_US,
                request.getCostUs() == 0 ? "" : Long.toUnsignedString(request.getCostUs()));
        putIfSet(
                fields,
                ClientProtocol.MEMORY_MB,
                request.getMemoryMb() == 0 ? "" : Double.toString(request.getMemoryMb()));
        putIfSet(
                fields,
                ClientProtocol.LANES,
                request.getLanes() == 0 ? "" : Integer.toUnsignedString(request.getLanes()));
        putIfSet(fields, ClientProtocol.LOAD_MS, request.getLoadMs() == 0 ? "" : Double.toString(request.getLoadMs()));
        putIfSet(fields, ClientProtocol.REPEAT, request.getRepeat() ? "1" : "");
        putIfSet(fields, ClientProtocol.WRITE, request.getWrite() ? "1" : "");
        return CallHead.parse(ClientProtocol.CALL_PATH + request.getFunction(), name -> fields.get(name.toString()));
    }

    private static void putIfSet(Map<String, String> fields, CharSequence name, String value) {
        if (!value.isEmpty()) {
            fields.put(name.toString(), value);
        }
    }

    private static Status status(CallAuthenticator.Authentication authentication) {
        return (authentication.fault() == CallAuthenticator.Fault.OTHER_TENANT
                        ? Status.PERMISSION_DENIED
                        : Status.UNAUTHENTICATED)
                .withDescription(authentication.message());
    }

    /** UNAVAILABLE for a rejected call, which can be retried safely; UNKNOWN for a failed one, which was possibly executed. */
    static Status status(FinalAnswer answer) {
        return answer == FinalAnswer.REFUSED ? Status.UNAVAILABLE : Status.UNKNOWN;
    }

    static Metadata trailers(FinalAnswer answer, long retryAfterNanos, ResponseSink.ResponseMetadata metadata) {
        Metadata trailers = new Metadata();
        trailers.put(GrpcProtocol.ANSWER, answer.word());
        trailers.put(GrpcProtocol.ATTEMPTS, Integer.toString(metadata.attempts()));
        if (!metadata.attemptSummaries().isEmpty()) {
            trailers.put(GrpcProtocol.REASON, String.join(", ", metadata.attemptSummaries()));
        }
        if (retryAfterNanos > 0) {
            trailers.put(GrpcProtocol.RETRY_AFTER_MS, Long.toString(Math.max(1, retryAfterNanos / NANOS_PER_MILLI)));
        }
        return trailers;
    }

    @Override
    public void chain(ChainRequest request, StreamObserver<ChainReply> responses) {
        ServerCallStreamObserver<ChainReply> observer = (ServerCallStreamObserver<ChainReply>) responses;
        ChainCall[] chainCall = new ChainCall[1];
        try {
            chainCall[0] = ingress.chains()
                    .read(
                            request.getJson().toByteArray(),
                            "x" + Long.toString(System.nanoTime(), Character.MAX_RADIX),
                            System.nanoTime(),
                            (end, answers) -> sendChainEnd(
                                    observer, end, ChainJsonCodec.write(chainCall[0].plan(), end, answers)));
        } catch (ChainJsonCodec.InvalidChainException e) {
            observer.onError(
                    Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
        }
        CallAuthenticator.Authentication authentication = ingress.authenticate(
                CredentialsInterceptor.SESSION.get(),
                CredentialsInterceptor.AUTHORIZATION.get(),
                chainCall[0].tenant());
        if (authentication.fault() != CallAuthenticator.Fault.NONE) {
            observer.onError(status(authentication).asRuntimeException());
            return;
        }
        chainCall[0] = chainCall[0].withTenant(authentication.tenant());
        observer.setOnCancelHandler(() -> ingress.engine().onClientCancelled(chainCall[0]));
        DispatchEngine.SubmissionResult submission = ingress.engine().submit(chainCall[0]);
        if (submission.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
            observer.onError(Status.UNAVAILABLE
                    .withDescription("refused")
                    .asRuntimeException(trailers(
                            FinalAnswer.REFUSED,
                            submission.retryAfterNanos(),
                            CallIngress.rejectedMetadata(submission))));
        }
    }

    private static void sendChainEnd(ServerCallStreamObserver<ChainReply> observer, ChainResult end, byte[] json) {
        if (observer.isCancelled()) {
            return;
        }
        if (end.kind() == ChainResult.Kind.SERVED) {
            observer.onNext(
                    ChainReply.newBuilder().setJson(ByteString.copyFrom(json)).build());
            observer.onCompleted();
            return;
        }
        FinalAnswer answer = end.kind() == ChainResult.Kind.REFUSED ? FinalAnswer.REFUSED : FinalAnswer.FAILED;
        Metadata trailers = trailers(
                answer,
                0,
                new ResponseSink.ResponseMetadata(
                        null, end.reason().isEmpty() ? List.of() : List.of(end.reason()), 0, false));
        trailers.put(GrpcProtocol.CHAIN, json);
        observer.onError(status(answer).withDescription(answer.word()).asRuntimeException(trailers));
    }
}
