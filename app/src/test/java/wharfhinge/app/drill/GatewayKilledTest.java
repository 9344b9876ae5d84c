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
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.Net;
import wharfhinge.standin.RosterStandIn;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.StoreStandIn;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerStandIn;

/** A gateway process killed between two steps of a chain, and what a client's retry then meets. */
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

    private interface Story {
        void tell(Scenario day, int rosterPort) throws Exception;
    }

    private void beforeOneWorker(Story story) throws Exception {
        Scenario day = Scenarios.load(null, "chains");
        EventLoopGroup group = Net.group(2);
        try (RosterStandIn roster = new RosterStandIn(group, 0, 0, trace);
                StoreStandIn store = new StoreStandIn(group, 0, 10, 40, trace);
                WorkerStandIn worker =
                        new WorkerStandIn(group, 0, day.worker(0, false), new HttpCaller(group, store.port()), trace)) {
            roster.report(new RosterEntry(
                    worker.id(),
                    "zone-a",
                    "std",
                    0,
                    State.UP,
                    2,
                    60_000,
                    worker.model().boot()));
            story.tell(day, roster.port());
        } finally {
            group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        }
    }

    private CompletableFuture<HttpResponse<String>> chain(GatewayProcess at, int firstUs, int costUs) {
        return client.sendAsync(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.port() + "/v1/chain"))
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString(
                                CHAIN.replace("FIRST", "" + firstUs).replace("COST", "" + costUs)))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** The answer of a retry; a gateway just started may not have its list yet, which is said as a refusal. */
    private String retried(GatewayProcess at) throws Exception {
        long end = System.nanoTime() + 15_000_000_000L;
        String answer = "";
        while (!answer.equals("served") && System.nanoTime() < end) {
            answer = chain(at, 20_000, 20_000)
                    .get()
                    .headers()
                    .firstValue("wh-answer")
                    .orElse("none");
        }
        return answer;
    }

    private long ran(String step) {
        return trace.lines().stream()
                .filter(l -> l.contains("\trun\t") && l.contains("." + step + "\t"))
                .count();
    }

    /** Its clock leaps past the chain's deadline: one answer at once, and nothing is begun after it. */
    @Test
    void aChainAcrossAStallOfItsGatewayEndsOnceAndBeginsNothingMore() throws Exception {
        beforeOneWorker((day, roster) -> {
            GatewayProcess gateway = gateway(day, 0, roster);
            try {
                gateway.start();
                CompletableFuture<HttpResponse<String>> call = running(gateway, "a", 500_000, 20_000);
                gateway.stall(true);
                Thread.sleep(2600); // longer than the chain may take
                gateway.stall(false);
                assertTrue(!call.get()
                        .headers()
                        .firstValue("wh-answer")
                        .orElse("none")
                        .equals("served"));
                assertEquals(0, ran("b"), "a step began after the deadline");
            } finally {
                gateway.stop();
            }
        });
    }

    /** A chain of which this step runs; one that a gateway refuses while its list is on the way is sent again. */
    private CompletableFuture<HttpResponse<String>> running(GatewayProcess at, String step, int firstUs, int costUs)
            throws Exception {
        CompletableFuture<HttpResponse<String>> call = chain(at, firstUs, costUs);
        long end = System.nanoTime() + 15_000_000_000L;
        while (ran(step) == 0 && System.nanoTime() < end) {
            if (call.isDone() && !call.isCompletedExceptionally()) {
                call = chain(at, firstUs, costUs);
            }
            Thread.sleep(2);
        }
        assertTrue(ran(step) > 0, "step " + step + " never ran");
        return call;
    }

    @Test
    void theSameOneGoesOnWhereItWasAndAnotherBeginsAnew() throws Exception {
        beforeOneWorker((day, roster) -> {
            GatewayProcess one = gateway(day, 0, roster);
            GatewayProcess two = gateway(day, 1, roster);
            try {
                one.start();
                two.start();
                running(one, "b", 20_000, 1_500_000);
                one.kill();
                assertEquals(1, ran("a"));
                one.start();
                assertEquals("served", retried(one));
                assertEquals(1, ran("a"), "the step that must not run twice ran again at the gateway that knew of it");
                assertTrue(ran("b") >= 2, "the second step's answer was lost with the process");
                assertEquals("served", retried(two));
                assertEquals(2, ran("a"), "another gateway doesn't know the key; docs/protocol-client.md says so");
            } finally {
                one.stop();
                two.stop();
            }
        });
    }
}
