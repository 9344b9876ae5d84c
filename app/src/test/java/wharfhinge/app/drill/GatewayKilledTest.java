package wharfhinge.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.standin.EndpointServiceEmulator;
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.PackageStoreEmulator;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerEmulator;

/** A gateway process is killed or stalled between two steps of a chain, and the client retries the chain. */
@Timeout(60)
class GatewayKilledTest {
    private static final String CHAIN =
            """
        {"key":"k","deadline_ms":2400,"input":"in","steps":[
         {"id":"a","function":"fa","class":"order","input":["client"],"cost_us":FIRST,"load_ms":20},
         {"id":"b","function":"fb","class":"sync","input":["a"],"cost_us":COST,"load_ms":20}]}""";

    @TempDir
    private Path folder;

    private final FreePorts ports = new FreePorts();
    private final Trace trace = new Trace(System::nanoTime);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private GatewayProcess gateway(Scenario day, int number, int roster) throws Exception {
        int port = ports.take();
        Path settings = GatewaySettings.write(folder, day, number, port, roster, false);
        Files.writeString(
                settings,
                Files.readString(settings)
                        .replace(
                                "let-through=\"20\"",
                                "resume-file=\"steps" + number + "\" resume-window-ms=\"60000\""));
        return new GatewayProcess("gw" + number, port, settings, null, trace);
    }

    private interface TestBody {
        void run(Scenario day, int rosterPort) throws Exception;
    }

    /** Runs the body with an endpoint service, a package store and one worker, all emulated. */
    private void withOneWorker(TestBody body) throws Exception {
        Scenario day = Scenarios.load(null, "chains");
        EventLoopGroup group = LoopbackServers.group(2);
        try (EndpointServiceEmulator roster = new EndpointServiceEmulator(group, 0, 0, trace);
                PackageStoreEmulator store = new PackageStoreEmulator(group, 0, 10, 40, trace);
                WorkerEmulator worker = new WorkerEmulator(
                        group, 0, day.worker(0, false), new HttpCaller(group, store.port()), trace)) {
            roster.report(new RosterEntry(
                    worker.id(),
                    "zone-a",
                    "std",
                    0,
                    State.UP,
                    2,
                    60_000,
                    worker.model().boot()));
            body.run(day, roster.port());
        } finally {
            group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        }
    }

    private CompletableFuture<HttpResponse<String>> sendChain(GatewayProcess gateway, int firstUs, int costUs) {
        return client.sendAsync(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.port() + "/v1/chain"))
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString(
                                CHAIN.replace("FIRST", "" + firstUs).replace("COST", "" + costUs)))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Retries the chain until it is served: a gateway that has just started rejects calls until it has an endpoint list. */
    private String retryUntilServed(GatewayProcess gateway) throws Exception {
        long end = System.nanoTime() + 15_000_000_000L;
        String answer = "";
        while (!answer.equals("served") && System.nanoTime() < end) {
            answer = sendChain(gateway, 20_000, 20_000)
                    .get()
                    .headers()
                    .firstValue("wh-answer")
                    .orElse("none");
        }
        return answer;
    }

    /** How often the worker started to run a step. */
    private long executions(String step) {
        return trace.lines().stream()
                .filter(l -> l.contains("\trun\t") && l.contains("." + step + "\t"))
                .count();
    }

    /** A gateway that resumes after the chain's deadline gives one response at once and starts no further step. */
    @Test
    void chainAcrossGatewayStall_isAnsweredOnceAndStartsNoFurtherStep() throws Exception {
        withOneWorker((day, roster) -> {
            GatewayProcess gateway = gateway(day, 0, roster);
            try {
                gateway.start();
                CompletableFuture<HttpResponse<String>> call = sendUntilStepRuns(gateway, "a", 500_000, 20_000);
                gateway.stall(true);
                Thread.sleep(2600); // longer than the chain's deadline
                gateway.stall(false);
                assertTrue(!call.get()
                        .headers()
                        .firstValue("wh-answer")
                        .orElse("none")
                        .equals("served"));
                assertEquals(0, executions("b"), "a step started after the deadline");
            } finally {
                gateway.stop();
            }
        });
    }

    /** Sends the chain and returns once the step runs; sends it again if the gateway rejects it for want of an endpoint list. */
    private CompletableFuture<HttpResponse<String>> sendUntilStepRuns(
            GatewayProcess gateway, String step, int firstUs, int costUs) throws Exception {
        CompletableFuture<HttpResponse<String>> call = sendChain(gateway, firstUs, costUs);
        long end = System.nanoTime() + 15_000_000_000L;
        while (executions(step) == 0 && System.nanoTime() < end) {
            if (call.isDone() && !call.isCompletedExceptionally()) {
                call = sendChain(gateway, firstUs, costUs);
            }
            Thread.sleep(2);
        }
        assertTrue(executions(step) > 0, "step " + step + " never ran");
        return call;
    }

    @Test
    void retryAfterKill_resumesAtSameGatewayAndRestartsAtAnother() throws Exception {
        withOneWorker((day, roster) -> {
            GatewayProcess one = gateway(day, 0, roster);
            GatewayProcess two = gateway(day, 1, roster);
            try {
                one.start();
                two.start();
                sendUntilStepRuns(one, "b", 20_000, 1_500_000);
                one.kill();
                assertEquals(1, executions("a"));
                one.start();
                assertEquals("served", retryUntilServed(one));
                assertEquals(
                        1,
                        executions("a"),
                        "the restarted gateway ran a step again that its step journal holds as served");
                assertTrue(executions("b") >= 2, "the step in flight at the kill was not run again");
                assertEquals("served", retryUntilServed(two));
                assertEquals(
                        2,
                        executions("a"),
                        "another gateway has no record of the idempotency key and runs all steps (docs/protocol-client.md)");
            } finally {
                one.stop();
                two.stop();
            }
        });
    }
}
