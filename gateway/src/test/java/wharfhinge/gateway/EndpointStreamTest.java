package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import io.netty.channel.EventLoopGroup;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.protocol.RosterFrame;
import wharfhinge.standin.EndpointServiceEmulator;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.Trace;

/** Tests the endpoint list over a real stream that falls silent, skips a revision or is lost. */
@Timeout(60)
class EndpointStreamTest {
    @TempDir
    private Path folder;

    private final EventLoopGroup group = LoopbackServers.group(2);
    private FakePeer worker;
    private EndpointServiceEmulator endpointService;
    private Gateway gateway;

    @BeforeEach
    void startGateway() throws Exception {
        worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
        endpointService = new EndpointServiceEmulator(group, 0, 0, new Trace(System::nanoTime));
        endpointService.report(GatewayFixture.entry(worker.id(), State.UP, "b0"));
        gateway = new Gateway(
                GatewayFixture.config(folder, "", "", endpointService.port()), DispatcherFactory.CACHE_AWARE, null);
        gateway.start();
    }

    @AfterEach
    void stopGateway() throws Exception {
        gateway.stop();
        endpointService.close();
        worker.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private String call() {
        try {
            return HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                            + gateway.address().getPort() + "/v1/call/f"))
                                    .header("wh-class", "safe")
                                    .POST(HttpRequest.BodyPublishers.noBody())
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (java.io.IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private long endpointUpdates() {
        return gateway.metrics().get("lists");
    }

    @Test
    void silentStream_isClosedAndListStaysValidUntilNextUpdate() throws Exception {
        GatewayFixture.await("the first call is served", () -> call().equals("well"));
        endpointService.silence(true);
        long before = endpointUpdates();
        Thread.sleep(2500); // longer than silent-after-ms
        assertEquals("well", call(), "the held list stays in use");
        assertEquals(before, endpointUpdates());
        endpointService.silence(false);
        endpointService.report(GatewayFixture.entry("127.0.0.1:9", State.UP, "b0"));
        GatewayFixture.await("the first update after the silence is applied", () -> endpointUpdates() > before);
    }

    @Test
    void gapOrLostStream_requestsFullList() throws Exception {
        GatewayFixture.await("the first call is served", () -> call().equals("well"));
        long before = endpointUpdates();
        endpointService.push(new RosterFrame(
                RosterFrame.Kind.CHANGES, 900, 901, List.of(GatewayFixture.entry(worker.id(), State.GONE, "b0"))));
        Thread.sleep(400);
        assertEquals("well", call(), "changes after a gap are not applied");
        assertEquals(before, endpointUpdates(), "the full list that was requested equals the held one");
        endpointService.setUnreachable(true);
        Thread.sleep(300);
        assertEquals("well", call());
        endpointService.setUnreachable(false);
        endpointService.report(GatewayFixture.entry("127.0.0.1:9", State.UP, "b0"));
        GatewayFixture.await("the first update after the loss is applied", () -> endpointUpdates() > before);
    }

    @Test
    void restartedGateway_servesFromSnapshotWhileEndpointServiceIsDown() throws Exception {
        GatewayFixture.await("the first call is served", () -> call().equals("well"));
        gateway.stop();
        endpointService.setUnreachable(true);
        gateway = new Gateway(
                GatewayFixture.config(folder, "", "", endpointService.port()), DispatcherFactory.CACHE_AWARE, null);
        gateway.start();
        assertEquals("well", call());
        assertTrue(gateway.metrics().get("lists") >= 1);
        endpointService.setUnreachable(false);
    }
}
