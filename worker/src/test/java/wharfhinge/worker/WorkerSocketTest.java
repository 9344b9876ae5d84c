package wharfhinge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import jakarta.xml.bind.JAXB;
import java.io.OutputStream;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.worker.store.Store;

/** A worker behind its socket, with real packages from a real store and real memory: calls, loads and their failures. */
@Timeout(60)
class WorkerSocketTest {
    private static final int KB_PER_MB = 1024;

    @TempDir
    private Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private Store store;
    private WorkerServer server;
    private TestGateway gateway;

    @BeforeEach
    void setUp() throws Exception {
        for (String flag :
                List.of("test.spin.end", "test.start.end", "test.leave.thread", "test.thread.end", "test.cooperated")) {
            System.clearProperty(flag);
        }
        Files.createDirectories(folder.resolve("packages"));
        publish("f", TestFunctions.Scripted.class, 8, 2, 5000, 5000);
        publish("quick", TestFunctions.Scripted.class, 8, 1, 100, 5000);
        publish("hangs", TestFunctions.HangsAtStart.class, 8, 1, 5000, 100);
        publish("fails", TestFunctions.FailsAtStart.class, 8, 1, 5000, 5000);
        store = new Store(group, 0, folder.resolve("packages"), 16);
        startWorker("");
    }

    private void publish(String name, Class<?> entry, int memoryMb, int slots, int callMillis, int startMillis)
            throws Exception {
        try (OutputStream out = Files.newOutputStream(folder.resolve("packages/" + name + ".pkg"))) {
            Packages.write(entry, memoryMb, slots, callMillis, startMillis, null, out);
        }
    }

    private void startWorker(String callsAttributes) throws Exception {
        String xml = "<worker xmlns='urn:wharfhinge:worker:1' name='w'><listen port='"
                + (server == null ? 0 : server.port()) + "'/>"
                + "<memory copies-mb='42' own-mb='4000' usual-copy-mb='8'/><calls queue='2500' " + callsAttributes
                + "/>"
                + "<loads at-once='2' fetch-ms='2000' stop-ms='50'/><store url='http://127.0.0.1:" + store.port()
                + "'/>"
                + "<images folder='images'/><reports refresh-ms='20'/><drain within-ms='5000'/></worker>";
        server = new WorkerServer(JAXB.unmarshal(new StringReader(xml), WorkerSettings.class), folder);
        gateway = new TestGateway(server.port());
    }

    @AfterEach
    void tearDown() throws Exception {
        for (String flag : List.of("test.spin.end", "test.start.end", "test.thread.end")) {
            System.setProperty(flag, "true");
        }
        gateway.close();
        server.close();
        store.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private void await(String condition, java.util.concurrent.Callable<Boolean> isMet) throws Exception {
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!isMet.call()) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    "not within 10 s: " + condition + ", memory status " + gateway.memoryStatus());
            Thread.sleep(2);
        }
    }

    @Test
    void call_loadsItsPackage_nextCallFindsTheCopy() throws Exception {
        TestGateway.Answer first = gateway.call("f", "hi").get();
        assertEquals("served began", first.outcome() + " " + first.note());
        assertEquals(
                "hi 1 " + 8 * KB_PER_MB * KB_PER_MB, first.body(), "the memory has the size that the package states");
        TestGateway.Answer second = gateway.call("f", "hi").get();
        assertEquals(
                "served found hi 2",
                second.outcome() + " " + second.note() + " " + second.body().substring(0, 4));
        assertEquals(8 * KB_PER_MB, gateway.memoryStatus().get("resident_kb"));
        assertEquals(8 * KB_PER_MB, gateway.memoryStatus().get("idle_kb"));
        assertEquals(server.incarnation(), second.incarnation());
    }

    @Test
    void copyThatThrowsExitsOrRunsOutOfMemory_doesNotAffectOtherCopies() throws Exception {
        assertEquals("error", gateway.call("f", "throw").get().outcome());
        assertEquals("hi 2", gateway.call("f", "hi").get().body().substring(0, 4), "an exception fails only its call");
        for (String end : List.of("exit", "halt", "memory")) {
            assertEquals("error", gateway.call("f", end).get().outcome(), end);
            TestGateway.Answer after = gateway.call("f", "hi").get();
            assertEquals(
                    "served hi 1", after.outcome() + " " + after.body().substring(0, 4), "a new copy after " + end);
        }
        await(
                "the memory of the ended copies is free",
                () -> gateway.memoryStatus().get("resident_kb") == 8L * KB_PER_MB);
    }

    @Test
    void callThatSpins_isGivenUpAndItsMemoryStaysAccountedFor() throws Exception {
        assertEquals("error", gateway.call("quick", "spin").get().outcome());
        await(
                "its memory is accounted for as stuck",
                () -> gateway.memoryStatus().get("stuck_kb") == 8L * KB_PER_MB);
        assertEquals("served", gateway.call("quick", "hi").get().outcome());
        await(
                "the load report includes the stuck memory",
                () -> gateway.send(HttpMethod.GET, "/probe", "").get().report().contains("x0:0.19"));
        System.setProperty("test.spin.end", "true");
        await("its thread has returned", () -> gateway.memoryStatus().get("stuck_kb") == 0L);
        await("its memory is released", () -> gateway.memoryStatus().get("resident_kb") == 8L * KB_PER_MB);
    }

    @Test
    void copyWhoseStartHangs_isAccountedForUntilItsThreadEnds() throws Exception {
        TestGateway.Answer answer = gateway.call("hangs", "hi").get();
        assertEquals("miss load-failed", answer.outcome() + " " + answer.note());
        assertEquals(8L * KB_PER_MB, gateway.memoryStatus().get("stuck_kb"));
        assertEquals("served", gateway.call("f", "hi").get().outcome(), "further loads are not blocked");
        System.setProperty("test.start.end", "true");
        await("the memory is released", () -> gateway.memoryStatus().get("stuck_kb") == 0L);
    }

    @Test
    void failedLoad_releasesItsMemoryOrKeepsItAccountedFor() throws Exception {
        assertEquals("load-failed", gateway.call("fails", "hi").get().note());
        assertEquals(0L, gateway.memoryStatus().get("resident_kb"));
        System.setProperty("test.leave.thread", "true");
        assertEquals("load-failed", gateway.call("fails", "hi").get().note());
        assertEquals(8L * KB_PER_MB, gateway.memoryStatus().get("stuck_kb"), "a thread still writes to it");
        assertEquals(8L * KB_PER_MB, gateway.memoryStatus().get("resident_kb"));
        System.setProperty("test.thread.end", "true");
        await("the memory is released", () -> gateway.memoryStatus().get("resident_kb") == 0L);
        assertEquals(42L * KB_PER_MB, gateway.memoryStatus().get("free_kb"));
    }

    @Test
    void orderForMoreCopiesThanFit_isFullWithTheCopiesThatFit() throws Exception {
        TestGateway.Answer answer = gateway.orderCopies("f", 16).get();
        assertEquals("full 5", answer.outcome() + " " + answer.count());
        assertEquals(5L * 8 * KB_PER_MB, gateway.memoryStatus().get("resident_kb"));
        assertEquals(
                "served 5",
                gateway.orderCopies("f", 0).get().outcome() + " "
                        + gateway.orderCopies("f", 0).get().count());
        assertEquals(204, gateway.send(HttpMethod.DELETE, "/copies/f", "").get().status());
        await("all copies are unloaded", () -> gateway.memoryStatus().get("resident_kb") == 0L);
    }

    @Test
    void unload_leavesCopyThatRunsACall() throws Exception {
        gateway.orderCopies("quick", 2).get();
        TestGateway.Open busy = gateway.call("quick", "cooperate");
        await("the call runs", () -> gateway.memoryStatus().get("working_kb") == 8L * KB_PER_MB);
        gateway.send(HttpMethod.DELETE, "/copies/quick", "").get();
        await("the idle copy is unloaded", () -> gateway.memoryStatus().get("resident_kb") == 8L * KB_PER_MB);
        assertEquals("error", busy.get().outcome(), "the call ran until its time limit");
    }

    @Test
    void cancelledCallThatCooperates_ends() throws Exception {
        TestGateway.Open call = gateway.call("f", "cooperate", "wh-call", "c7");
        await("the call runs", () -> gateway.memoryStatus().get("working_kb") > 0);
        call.reset();
        await("the function saw the cancellation", () -> "c7".equals(System.getProperty("test.cooperated")));
        await("its slot is free", () -> gateway.memoryStatus().get("calls_held") == 0L);
    }

    @Test
    void twoThousandCallsCancelledTogether_areAllReleased() throws Exception {
        List<TestGateway.Open> calls = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            calls.add(gateway.call("f", "sleep"));
        }
        await("the calls are in flight", () -> gateway.memoryStatus().get("calls_held") > 1500);
        calls.forEach(TestGateway.Open::reset);
        await("no call is in flight", () -> gateway.memoryStatus().get("calls_held") == 0L);
        assertEquals("served", gateway.call("f", "hi").get().outcome());
    }

    @Test
    void drainWithQueuedCalls_answersAllAndSendsGoAway() throws Exception {
        List<TestGateway.Open> calls = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            calls.add(gateway.call("f", "hi"));
        }
        await(
                "the calls are in flight",
                () -> gateway.memoryStatus().get("calls_held")
                                + gateway.memoryStatus().get("loads_done")
                        > 0);
        Thread drain = new Thread(() -> {
            try {
                server.drain();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        drain.start();
        assertTrue(gateway.receivedGoAway(), "no GOAWAY received");
        int served = 0;
        for (TestGateway.Open call : calls) {
            served += call.get().outcome().equals("served") ? 1 : 0;
        }
        assertEquals(40, served);
        drain.join();
    }

    @Test
    void requestsForThePreviousIncarnation_areRejected() throws Exception {
        String previous = server.incarnation();
        gateway.call("f", "hi", "wh-boot", previous).get();
        gateway.close();
        server.close();
        startWorker(""); // at the same address
        assertNotEquals(previous, server.incarnation());
        TestGateway.Answer call = gateway.call("f", "hi", "wh-boot", previous).get();
        assertEquals("full", call.outcome());
        assertEquals(
                "full 0",
                gateway.orderCopies("f", 1, "wh-boot", previous).get().outcome() + " "
                        + gateway.orderCopies("f", 1, "wh-boot", previous).get().count());
        assertEquals(0L, gateway.memoryStatus().get("copies"));
        store.close(); // the images on disk are still used
        assertEquals(
                "served",
                gateway.call("f", "hi", "wh-boot", server.incarnation()).get().outcome());
    }

    @Test
    void workerThatDoesNotLoadOnCalls_answersMissAndLoadsOnOrders() throws Exception {
        gateway.close();
        server.close();
        startWorker("not-loaded='miss' further-copies='order'");
        assertEquals("miss", gateway.call("f", "hi").get().outcome());
        assertEquals(
                "served 1",
                gateway.orderCopies("f", 1).get().outcome() + " "
                        + gateway.orderCopies("f", 1).get().count());
        assertEquals("found", gateway.call("f", "hi").get().note());
        assertEquals(
                "error 0",
                gateway.orderCopies("nothing", 1).get().outcome() + " "
                        + gateway.orderCopies("nothing", 1).get().count());
    }

    @Test
    void invalidRequests_areAnsweredWithTheReason() throws Exception {
        assertEquals(400, gateway.orderCopies("f", 17).get().status());
        assertTrue(gateway.call("f%20g", "").get().body().contains("allowed: 1 to 128"));
        assertEquals(400, gateway.send(HttpMethod.GET, "/nothing", "").get().status());
        assertEquals(
                "served",
                gateway.call("f", "hi", "wh-memory-mb", "1e99", "wh-lanes", "x", "wh-deadline-ms", "-1")
                        .get()
                        .outcome(),
                "invalid numbers in headers are ignored");
    }
}
