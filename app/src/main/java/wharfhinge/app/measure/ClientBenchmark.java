package wharfhinge.app.measure;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import wharfhinge.client.Transport;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.client.core.ClientPolicy;
import wharfhinge.client.grpc.GrpcTransport;
import wharfhinge.client.http.HttpTransport;

/** One call at a time, awaited: the latency that a caller sees with the client library and with its transport alone. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ClientBenchmark {
    /** Address (host:port) of the gateway's HTTP listener. */
    @Param("")
    public String http;
    /** Address (host:port) of the gateway's gRPC listener. */
    @Param("")
    public String grpc;
    /** Protocol of the run: {@code http} or {@code grpc}. */
    @Param({"http", "grpc"})
    public String protocol;

    private Transport transport;
    private WharfhingeClient client;
    private String gateway;

    /** Opens the client and the bare transport; the client has a transport of its own. */
    @Setup
    public void open() {
        gateway = protocol.equals("http") ? http : grpc;
        transport = transport();
        client = new WharfhingeClient(transport(), ClientPolicy.DEFAULT, List.of(gateway));
    }

    private Transport transport() {
        return protocol.equals("http")
                ? new HttpTransport(Duration.ofSeconds(2), 1, 1 << 20, null, null)
                : new GrpcTransport(Duration.ofSeconds(2), 1 << 20, null, null);
    }

    /** A call by the transport without the client library. */
    @Benchmark
    public Object transportAlone() {
        CompletableFuture<Transport.Reply> reply = new CompletableFuture<>();
        transport.send(
                gateway,
                ClientCostCommand.CALL,
                ClientCostCommand.CALL.deadline().toNanos(),
                false,
                reply::complete);
        return reply.join();
    }

    /** A call by the client library. */
    @Benchmark
    public Object library() {
        return client.call(ClientCostCommand.CALL).join();
    }

    /** Closes the transport and the client. */
    @TearDown
    public void close() throws InterruptedException {
        transport.close();
        client.close();
    }
}
