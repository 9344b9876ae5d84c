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

/** What the libraries do not use of the gRPC port: streams, chains, health, reflection. */
@Timeout(30)
class GrpcListenerTest {
    @TempDir
    private Path folder;

    private GatewayFixture rig;
    private ManagedChannel channel;

    @BeforeEach
    void begin() throws Exception {
        rig = new GatewayFixture(folder, "", DispatcherFactory.CACHE_AWARE);
        channel = NettyChannelBuilder.forAddress(
                        "127.0.0.1", rig.gateway.grpcAddress().getPort())
                .usePlaintext()
                .build();
    }

    @AfterEach
    void end() throws Exception {
        channel.shutdownNow();
        rig.close();
    }

    private static CallRequest request(String type) {
        return CallRequest.newBuilder().setFunction("f").setRequestClass(type).build();
    }

    private Iterator<CallReply> flow() {
        return GatewayGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS).stream(request("flow"));
    }

    @Test
    void stream_isPassedOnAsItComes() throws Exception {
        try (FakePeer worker = new FakePeer(null)) {
            rig.announce(worker.id());
            Iterator<CallReply> parts = flow();
            FakePeer.ReceivedRequest in = worker.next();
            in.sendHeaders(SERVED, FOUND, false);
            CallReply head = parts.next();
            assertEquals(worker.id(), head.getWorker());
            in.sendData("one", false);
            assertEquals("one", parts.next().getBody().toStringUtf8(), "before the worker has ended");
            in.sendData("two", true);
            assertEquals("two", parts.next().getBody().toStringUtf8());
            assertTrue(!parts.hasNext() || parts.next().getBody().isEmpty() && !parts.hasNext());
        }
    }

    @Test
    void brokenStream_doesNotLookComplete() throws Exception {
        try (FakePeer worker = new FakePeer(null)) {
            rig.announce(worker.id());
            Iterator<CallReply> parts = flow();
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
            rig.announce(worker.id());
            CompletableFuture<Throwable> over = new CompletableFuture<>();
            CompletableFuture<io.grpc.stub.ClientCallStreamObserver<CallRequest>> call = new CompletableFuture<>();
            GatewayGrpc.newStub(channel).stream(
                    request("flow"), new io.grpc.stub.ClientResponseObserver<CallRequest, CallReply>() {
                        @Override
                        public void beforeStart(io.grpc.stub.ClientCallStreamObserver<CallRequest> to) {
                            to.disableAutoRequestWithInitial(1); // reads one part and no more
                            call.complete(to);
                        }

                        @Override
                        public void onNext(CallReply part) {}

                        @Override
                        public void onError(Throwable t) {
                            over.complete(t);
                        }

                        @Override
                        public void onCompleted() {
                            over.complete(null);
                        }
                    });
            FakePeer.ReceivedRequest in = worker.next();
            in.sendHeaders(SERVED, FOUND, false);
            in.flood(400); // 25 MB
            long before = -1;
            for (int same = 0; same < 20; same = worker.floodedParts == before ? same + 1 : 0) {
                before = worker.floodedParts;
                Thread.sleep(25); // until nothing has moved for half a second
            }
            assertTrue(
                    worker.floodedParts > 0 && worker.floodedParts < 200,
                    "parts of 64 KB that went out: " + worker.floodedParts);
            call.get(5, TimeUnit.SECONDS).cancel("enough", null);
            assertTrue(worker.resets.poll(5, TimeUnit.SECONDS) != null, "the worker is told");
        }
    }

    @Test
    void requestClass_hasItsOwnRpc() {
        for (String type : new String[] {"flow", "safe"}) {
            StatusRuntimeException wrong = assertThrows(StatusRuntimeException.class, () -> {
                if (type.equals("flow")) {
                    GatewayGrpc.newBlockingStub(channel).call(request("flow"));
                } else {
                    GatewayGrpc.newBlockingStub(channel).stream(request("safe")).hasNext();
                }
            });
            assertEquals(Status.Code.INVALID_ARGUMENT, wrong.getStatus().getCode());
            assertTrue(
                    wrong.getStatus().getDescription().contains("Stream for those"),
                    wrong.getStatus().getDescription());
        }
    }

    private ChainRequest chain(String text) {
        return ChainRequest.newBuilder().setJson(ByteString.copyFromUtf8(text)).build();
    }

    @Test
    void chain_isServedRejectedOrInvalidAsOverHttp() throws Exception {
        String text = "{\"deadline_ms\":1500,\"steps\":[{\"id\":\"a\",\"function\":\"f\",\"class\":\"safe\"}]}";
        GatewayGrpc.GatewayBlockingStub stub =
                GatewayGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS);
        StatusRuntimeException refused =
                assertThrows(StatusRuntimeException.class, () -> stub.chain(chain(text))); // no workers
        assertEquals("refused", refused.getTrailers().get(GrpcProtocol.ANSWER));
        assertEquals(Status.Code.UNAVAILABLE, refused.getStatus().getCode());
        String told = new String(refused.getTrailers().get(GrpcProtocol.CHAIN), StandardCharsets.UTF_8);
        assertTrue(told.contains("\"refused\"") && told.contains("\"a\""), told);
        StatusRuntimeException wrong =
                assertThrows(StatusRuntimeException.class, () -> stub.chain(chain("{\"steps\":7}")));
        assertEquals(Status.Code.INVALID_ARGUMENT, wrong.getStatus().getCode());
        assertTrue(
                wrong.getStatus().getDescription().contains("$.steps"),
                wrong.getStatus().getDescription());
        try (FakePeer worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"))) {
            rig.announce(worker.id());
            assertTrue(stub.chain(chain(text)).getJson().toStringUtf8().contains("\"served\""));
        }
    }

    @Test
    void shutdown_turnsHealthAndReflectionNamesService() throws Exception {
        var health = HealthGrpc.newBlockingStub(channel).withDeadlineAfter(10, TimeUnit.SECONDS);
        assertEquals(
                ServingStatus.SERVING,
                health.check(HealthCheckRequest.getDefaultInstance()).getStatus());
        CompletableFuture<String> services = new CompletableFuture<>();
        StreamObserver<ServerReflectionRequest> ask = ServerReflectionGrpc.newStub(channel)
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
        ask.onNext(ServerReflectionRequest.newBuilder().setListServices("").build());
        assertTrue(services.get(5, TimeUnit.SECONDS).contains("wharfhinge.v1.Gateway"));
        ask.onCompleted();
        CompletableFuture<ServingStatus> last = new CompletableFuture<>();
        HealthGrpc.newStub(channel).watch(HealthCheckRequest.getDefaultInstance(), new StreamObserver<>() {
            @Override
            public void onNext(io.grpc.health.v1.HealthCheckResponse answer) {
                if (answer.getStatus() != ServingStatus.SERVING) {
                    last.complete(answer.getStatus());
                }
            }

            @Override
            public void onError(Throwable t) {
                last.completeExceptionally(t);
            }

            @Override
            public void onCompleted() {}
        });
        health.check(HealthCheckRequest.getDefaultInstance()); // the watch stands
        new Thread(() -> {
                    try {
                        rig.gateway.stop();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                })
                .start();
        assertEquals(ServingStatus.NOT_SERVING, last.get(5, TimeUnit.SECONDS));
    }
}
