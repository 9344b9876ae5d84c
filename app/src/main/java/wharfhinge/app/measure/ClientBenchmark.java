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

/** One call at a time, waited for: what a caller feels of the library beside its bare transport. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ClientBenchmark {
    /** Addresses of a gateway, for HTTP and for gRPC. */
    @Param("")
    public String http;
    /** See {@link #http}. */
    @Param("")
    public String grpc;
    /** Which protocol. */
    @Param({"http", "grpc"})
    public String protocol;

    private Transport transport;
    private WharfhingeClient client;
    private String gateway;

    /** Both speak through transports of their own. */
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

    /** The bare transport. */
    @Benchmark
    public Object transportAlone() {
        CompletableFuture<Transport.Reply> end = new CompletableFuture<>();
        transport.send(
                gateway,
                ClientCostCommand.CALL,
                ClientCostCommand.CALL.deadline().toNanos(),
                false,
                end::complete);
        return end.join();
    }

    /** The library. */
    @Benchmark
    public Object library() {
        return client.call(ClientCostCommand.CALL).join();
    }

    /** Closes both. */
    @TearDown
    public void close() throws InterruptedException {
        transport.close();
        client.close();
    }
}
