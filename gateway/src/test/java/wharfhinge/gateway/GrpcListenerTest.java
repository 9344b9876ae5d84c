package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.health.v1.HealthCheckRequest;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.health.v1.HealthGrpc;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.reflection.v1.ServerReflectionGrpc;
import io.grpc.reflection.v1.ServerReflectionRequest;
import io.grpc.reflection.v1.ServerReflectionResponse;
import io.grpc.stub.StreamObserver;
import io.netty.handler.codec.http2.Http2Error;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.protocol.grpc.CallReply;
import wharfhinge.protocol.grpc.CallRequest;
import wharfhinge.protocol.grpc.ChainRequest;
import wharfhinge.protocol.grpc.GatewayGrpc;
import wharfhinge.protocol.grpc.GrpcProtocol;

/** Tests the gRPC port with a plain gRPC client: streams, chains, health checks and reflection. */
@Timeout(30)
class GrpcListenerTest {
    @TempDir
    private Path folder;

    private GatewayFixture fixture;
    private ManagedChannel channel;

    @BeforeEach
    void startGateway() throws Exception {
        fixture = new GatewayFixture(folder, "", DispatcherFactory.CACHE_AWARE);
        channel = NettyChannelBuilder.forAddress(
                        "127.0.0.1", fixture.gateway.grpcAddress().getPort())
                .usePlaintext()
                .build();
    }

    @AfterEach
    void stopGateway() throws Exception {
        channel.shutdownNow();
        fixture.close();
    }

    private static CallRequest request(String requestClass) {
        return CallRequest.newBuilder()
                .setFunction("f")
                .setRequestClass(requestClass)
                .build();
    }

    private Iterator<CallReply> streamedCall() {
        return GatewayGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS).stream(request("flow"));
    }

    @Test
    void stream_isPassedOnAsItComes() throws Exception {
        try (FakePeer worker = new FakePeer(null)) {
            fixture.announce(worker.id());
            Iterator<CallReply> parts = streamedCall();
            FakePeer.ReceivedRequest in = worker.next();
            in.sendHeaders(SERVED, FOUND, false);
            CallReply head = parts.next();
            assertEquals(worker.id(), head.getWorker());
            in.sendData("one", false);
            assertEquals(
                    "one",
                    parts.next().getBody().toStringUtf8(),
                    "the first part arrives before the worker ends the stream");
            in.sendData("two", true);
            assertEquals("two", parts.next().getBody().toStringUtf8());
            assertTrue(!parts.hasNext() || parts.next().getBody().isEmpty() && !parts.hasNext());
        }
    }

    @Test
    void brokenStream_doesNotLookComplete() throws Exception {
        try (FakePeer worker = new FakePeer(null)) {
            fixture.announce(worker.id());
            Iterator<CallReply> parts = streamedCall();
            FakePeer.ReceivedRequest in = worker.next();
            in.sendHeaders(SERVED, FOUND, false);
            parts.next();
            in.sendData("half", false);
            assertEquals("half", parts.next().getBody().toStringUtf8());
            in.reset(Http2Error.INTERNAL_ERROR);
            assertEquals(
                    Status.Code.DATA_LOSS,
                    assertThrows(StatusRuntimeException.class, parts::hasNext)
                            .getStatus()
                            .getCode());
        }
    }

    @Test
    void slowClient_slowsWorkerDownAndCancelEndsStream() throws Exception {
        try (FakePeer worker = new FakePeer(null)) {
            fixture.announce(worker.id());
            CompletableFuture<Throwable> completion = new CompletableFuture<>();
            CompletableFuture<io.grpc.stub.ClientCallStreamObserver<CallRequest>> call = new CompletableFuture<>();
            GatewayGrpc.newStub(channel).stream(
                    request("flow"), new io.grpc.stub.ClientResponseObserver<CallRequest, CallReply>() {
                        @Override
                        public void beforeStart(io.grpc.stub.ClientCallStreamObserver<CallRequest> requestStream) {
                            requestStream.disableAutoRequestWithInitial(1); // requests one part only
                            call.complete(requestStream);
                        }

                        @Override
                        public void onNext(CallReply part) {}

                        @Override
                        public void onError(Throwable t) {
                            completion.complete(t);
                        }

                        @Override
                        public void onCompleted() {
                            completion.complete(null);
                        }
                    });
            FakePeer.ReceivedRequest in = worker.next();
            in.sendHeaders(SERVED, FOUND, false);
            in.flood(400); // 400 parts of 64 KB: 25 MB
            long before = -1;
            for (int same = 0; same < 20; same = worker.floodedParts == before ? same + 1 : 0) {
                before = worker.floodedParts;
                Thread.sleep(25); // until no part has been written for 500 ms
            }
            assertTrue(
                    worker.floodedParts > 0 && worker.floodedParts < 200,
                    "parts of 64 KB that the worker wrote: " + worker.floodedParts);
            call.get(5, TimeUnit.SECONDS).cancel("client cancelled", null);
            assertTrue(worker.resets.poll(5, TimeUnit.SECONDS) != null, "the gateway resets the stream to the worker");
        }
    }

    @Test
    void requestClassOfOtherRpc_isInvalidArgument() {
        for (String requestClass : new String[] {"flow", "safe"}) {
            StatusRuntimeException invalid = assertThrows(StatusRuntimeException.class, () -> {
                if (requestClass.equals("flow")) {
                    GatewayGrpc.newBlockingStub(channel).call(request("flow"));
                } else {
                    GatewayGrpc.newBlockingStub(channel).stream(request("safe")).hasNext();
                }
            });
            assertEquals(Status.Code.INVALID_ARGUMENT, invalid.getStatus().getCode());
            assertTrue(
                    invalid.getStatus().getDescription().contains("Stream for those"),
                    invalid.getStatus().getDescription());
        }
    }

    private ChainRequest chain(String json) {
        return ChainRequest.newBuilder().setJson(ByteString.copyFromUtf8(json)).build();
    }

    @Test
    void chain_isServedRejectedOrInvalidAsOverHttp() throws Exception {
        String json = "{\"deadline_ms\":1500,\"steps\":[{\"id\":\"a\",\"function\":\"f\",\"class\":\"safe\"}]}";
        GatewayGrpc.GatewayBlockingStub stub =
                GatewayGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS);
        StatusRuntimeException rejected =
                assertThrows(StatusRuntimeException.class, () -> stub.chain(chain(json))); // no workers are announced
        assertEquals("refused", rejected.getTrailers().get(GrpcProtocol.ANSWER));
        assertEquals(Status.Code.UNAVAILABLE, rejected.getStatus().getCode());
        String reportedChain = new String(rejected.getTrailers().get(GrpcProtocol.CHAIN), StandardCharsets.UTF_8);
        assertTrue(reportedChain.contains("\"refused\"") && reportedChain.contains("\"a\""), reportedChain);
        StatusRuntimeException invalid =
                assertThrows(StatusRuntimeException.class, () -> stub.chain(chain("{\"steps\":7}")));
        assertEquals(Status.Code.INVALID_ARGUMENT, invalid.getStatus().getCode());
        assertTrue(
                invalid.getStatus().getDescription().contains("$.steps"),
                invalid.getStatus().getDescription());
        try (FakePeer worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"))) {
            fixture.announce(worker.id());
            assertTrue(stub.chain(chain(json)).getJson().toStringUtf8().contains("\"served\""));
        }
    }

    @Test
    void reflection_listsServiceAndShutdownReportsNotServing() throws Exception {
        var health = HealthGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS);
        assertEquals(
                ServingStatus.SERVING,
                health.check(HealthCheckRequest.getDefaultInstance()).getStatus());
        CompletableFuture<String> services = new CompletableFuture<>();
        StreamObserver<ServerReflectionRequest> reflectionRequests = ServerReflectionGrpc.newStub(channel)
                .serverReflectionInfo(new StreamObserver<ServerReflectionResponse>() {
                    @Override
                    public void onNext(ServerReflectionResponse answer) {
                        services.complete(answer.getListServicesResponse().toString());
                    }

                    @Override
                    public void onError(Throwable t) {
                        services.completeExceptionally(t);
                    }

                    @Override
                    public void onCompleted() {}
                });
        reflectionRequests.onNext(
                ServerReflectionRequest.newBuilder().setListServices("").build());
        assertTrue(services.get(5, TimeUnit.SECONDS).contains("wharfhinge.v1.Gateway"));
        reflectionRequests.onCompleted();
        CompletableFuture<ServingStatus> statusAfterStop = new CompletableFuture<>();
        HealthGrpc.newStub(channel).watch(HealthCheckRequest.getDefaultInstance(), new StreamObserver<>() {
            @Override
            public void onNext(io.grpc.health.v1.HealthCheckResponse answer) {
                if (answer.getStatus() != ServingStatus.SERVING) {
                    statusAfterStop.complete(answer.getStatus());
                }
            }

            @Override
            public void onError(Throwable t) {
                statusAfterStop.completeExceptionally(t);
            }

            @Override
            public void onCompleted() {}
        });
        health.check(HealthCheckRequest.getDefaultInstance()); // the answer arrives after the watch is registered
        new Thread(() -> {
                    try {
                        fixture.gateway.stop();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })
                .start();
        assertEquals(ServingStatus.NOT_SERVING, statusAfterStop.get(5, TimeUnit.SECONDS));
    }
}
