package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.gateway.GatewayFixture.answer;
import static wharfhinge.gateway.GatewayFixture.get;
import static wharfhinge.protocol.AnswerCode.FULL;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.BEGAN;
import static wharfhinge.protocol.CopyNote.FOUND;
import static wharfhinge.protocol.CopyNote.NONE;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EngineStateSizes;

/** Chains over real sockets: served, rejected, failed, cancelled and retried. */
@Timeout(60)
class ChainSocketTest {
    private static final String CHAIN_SETTINGS =
            "<chains resume-file=\"steps\"><chain name=\"save\" aim-ms=\"900\"><step id=\"a\" "
                    + "function=\"f\" class=\"safe\"/><step id=\"b\" function=\"g\" class=\"safe\" input=\"a client\"/></chain></chains>";

    private static final Pattern CONTENT_LENGTH = Pattern.compile("\r\ncontent-length: (\\d+)\r\n");

    @TempDir
    private Path folder;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FakePeer worker;
    private GatewayFixture fixture;

    @BeforeEach
    void startGateway() throws Exception {
        worker = new FakePeer(null);
        fixture = new GatewayFixture(
                folder, "", "/>" + CHAIN_SETTINGS + "<log level=\"info\"", DispatcherFactory.CACHE_AWARE);
        fixture.announce(worker.id());
    }

    @AfterEach
    void stopGateway() throws Exception {
        fixture.close();
        worker.close();
    }

    private CompletableFuture<HttpResponse<String>> sendChain(GatewayFixture target, String chainJson) {
        return client.sendAsync(
                HttpRequest.newBuilder(target.uri("/v1/chain"))
                        .POST(HttpRequest.BodyPublishers.ofString(chainJson.replace('\'', '"')))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the HTTP/1.1 request that submits a chain. */
    private static byte[] rawChain(String chainJson) {
        String body = chainJson.replace('\'', '"');
        return ("POST /v1/chain HTTP/1.1\r\nhost: x\r\ncontent-length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one response with its body of {@code content-length} bytes. */
    private static String readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("closed after: " + head);
            }
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        assertTrue(length.find(), head.toString());
        int bodyBytes = Integer.parseInt(length.group(1));
        return head + new String(in.readNBytes(bodyBytes), StandardCharsets.US_ASCII);
    }

    private static String stepsJson(String head, String... steps) {
        return "{" + head + ",'input':'in','steps':[" + String.join(",", steps) + "]}";
    }

    private static String stepJson(String id, String type, String input, int loadMillis) {
        return "{'id':'" + id + "','function':'f-" + id + "','class':'" + type + "','input':[" + input + "],'load_ms':"
                + loadMillis + ",'cost_us':20000}";
    }

    private static final String STEP_A = stepJson("a", "safe", "'client'", 0);
    private static final String STEP_B = stepJson("b", "safe", "'a','client'", 0);

    @Test
    void steps_runInOrderAndPassOutputsOn() throws Exception {
        CompletableFuture<HttpResponse<String>> call =
                sendChain(fixture, stepsJson("'id':'c1','deadline_ms':2000", STEP_A, STEP_B));
        FakePeer.ReceivedRequest a = worker.next();
        assertEquals("/call/f-a", a.headers.path().toString());
        assertEquals("c1.a", a.headers.get("wh-call").toString());
        a.respond(SERVED, FOUND, "from a");
        FakePeer.ReceivedRequest b = worker.next();
        int remainingMillis = Integer.parseInt(b.headers.get("wh-deadline-ms").toString());
        assertTrue(remainingMillis < 2000, "the second step gets what is left of the deadline of the chain");
        b.respond(SERVED, FOUND, "done");
        HttpResponse<String> response = get(call);
        assertEquals(200, response.statusCode());
        assertTrue(response.body().contains("\"output\":\"done\""), response.body());
        assertTrue(!response.body().contains("from a"), "the response holds the output of the last steps only");
    }

    @Test
    void namedChain_runsAsConfigured() throws Exception {
        CompletableFuture<HttpResponse<String>> call = sendChain(fixture, "{'chain':'save','input':'x'}");
        worker.next().respond(SERVED, FOUND, "1");
        worker.next().respond(SERVED, FOUND, "2");
        assertEquals("served", answer(get(call)));
    }

    /** Guards against timers that hold a finished chain and its answers in memory until its deadline. */
    @Test
    void finishedChains_leaveNoTimers() throws Exception {
        for (int i = 0; i < 200; i++) {
            CompletableFuture<HttpResponse<String>> call =
                    sendChain(fixture, stepsJson("'deadline_ms':60000", STEP_A, STEP_B));
            worker.next().respond(SERVED, FOUND, "from a");
            worker.next().respond(SERVED, FOUND, "done");
            assertEquals("served", answer(get(call)));
        }
        CompletableFuture<EngineStateSizes> sizes = new CompletableFuture<>();
        fixture.gateway.engine().stateSizes(sizes::complete);
        assertTrue(sizes.get(8, TimeUnit.SECONDS).timers() < 128, sizes.get().toString());
    }

    @Test
    void loadBeyondDeadline_isRejectedBeforeAnyStep() throws Exception {
        HttpResponse<String> response =
                get(sendChain(fixture, stepsJson("'deadline_ms':400", STEP_A, stepJson("cold", "safe", "'a'", 900))));
        assertEquals("refused", answer(response));
        assertTrue(response.body().contains("too-little-time"), response.body());
        assertTrue(worker.receivesNoCallWithin(50), "a step was sent for a chain that cannot meet its deadline");
    }

    @Test
    void unknownFunctionInLastStep_isTriedAndLoaded() throws Exception {
        CompletableFuture<HttpResponse<String>> call = sendChain(
                fixture,
                stepsJson(
                        "'deadline_ms':2000",
                        STEP_A,
                        "{'id':'new','function':'never-seen','class':'safe','input':['a']}"));
        worker.next().respond(SERVED, FOUND, "a");
        FakePeer.ReceivedRequest received = worker.next();
        assertEquals(
                "/call/never-seen",
                received.headers.path().toString(),
                "a function with an unknown load time is not a reason to reject");
        Thread.sleep(100); // the time of its load
        received.respond(SERVED, BEGAN, "loaded");
        HttpResponse<String> response = get(call);
        assertTrue(answer(response).equals("served") && response.body().contains("loaded"), response.body());
    }

    @Test
    void lateFirstStep_endsChainBeforeDeadline() throws Exception {
        worker.ignoreNonCalls = true; // the prefetch does not complete in time
        long startNanos = System.nanoTime();
        CompletableFuture<HttpResponse<String>> call =
                sendChain(fixture, stepsJson("'deadline_ms':950", STEP_A, stepJson("cold", "safe", "'a'", 900)));
        FakePeer.ReceivedRequest a = worker.next();
        Thread.sleep(290); // shorter than the time after which the attempt counts as overdue and is hedged
        a.respond(SERVED, FOUND, "late");
        assertEquals("refused", answer(get(call)));
        assertTrue(System.nanoTime() - startNanos < 900_000_000L, "the chain is rejected before its deadline");
        assertEquals(1, fixture.metric("chain_ahead_ordered"));
        assertEquals(1, fixture.metric("chain_ahead_unused"));
        assertTrue(worker.receivesNoCallWithin(50));
    }

    @Test
    void silentFirstWorker_givesOneAnswerByDeadline() throws Exception {
        byte[] request = rawChain(stepsJson("'deadline_ms':500", stepJson("a", "once", "'client'", 0), STEP_B));
        try (Socket socket = new Socket("127.0.0.1", fixture.gateway.address().getPort())) {
            // a raw socket that is already connected: the first connection of the process and
            // the class loading of an HTTP client stay out of the measured time
            socket.getOutputStream()
                    .write("GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            readResponse(socket.getInputStream());
            long startNanos = System.nanoTime();
            socket.getOutputStream().write(request);
            String response = readResponse(socket.getInputStream());
            long tookNanos = System.nanoTime() - startNanos;
            assertTrue(
                    response.contains("\r\nwh-answer: failed\r\n"), "the first step is possibly executed: " + response);
            assertTrue(response.contains("\"state\":\"may-have-run\""), response);
            assertTrue(tookNanos < 520_000_000L, () -> "took " + tookNanos + " ns");
        }
    }

    @Test
    void failedBranch_endsChainAndResetsSibling() throws Exception {
        CompletableFuture<HttpResponse<String>> call = sendChain(
                fixture,
                stepsJson(
                        "'deadline_ms':2000",
                        stepJson("a", "once", "'client'", 0),
                        stepJson("b", "safe", "'client'", 0),
                        stepJson("c", "safe", "'a','b'", 0)));
        FakePeer.ReceivedRequest one = worker.next();
        FakePeer.ReceivedRequest two = worker.next();
        FakePeer.ReceivedRequest a = one.headers.path().toString().endsWith("f-a") ? one : two;
        a.reset(io.netty.handler.codec.http2.Http2Error.INTERNAL_ERROR);
        assertEquals("failed", answer(get(call)));
        assertTrue(worker.resets.poll(2, TimeUnit.SECONDS) != null, "the sibling step was not reset");
    }

    @Test
    void clientCancelAtSecondStep_preventsThird() throws Exception {
        Socket socket = new Socket("127.0.0.1", fixture.gateway.address().getPort());
        socket.getOutputStream()
                .write(rawChain(stepsJson("'deadline_ms':2000", STEP_A, STEP_B, stepJson("c", "safe", "'b'", 0))));
        worker.next().respond(SERVED, FOUND, "a");
        worker.next();
        socket.close();
        assertTrue(worker.resets.poll(2, TimeUnit.SECONDS) != null, "the second step was not reset");
        assertTrue(worker.receivesNoCallWithin(100));
        assertEquals(1, fixture.metric("chain_left"));
        GatewayFixture.await("no call is in flight", () -> fixture.metric("open_calls") == 0);
    }

    @Test
    void rejectedStepAfterUnsafeStep_reportsWhatRan() throws Exception {
        CompletableFuture<HttpResponse<String>> call =
                sendChain(fixture, stepsJson("'deadline_ms':2000", stepJson("a", "once", "'client'", 0), STEP_B));
        worker.next().respond(SERVED, FOUND, "ran");
        while (!call.isDone()) { // the number of attempts does not matter here
            FakePeer.ReceivedRequest b = worker.poll(20);
            if (b != null) {
                b.respond(FULL, NONE, "");
            }
        }
        HttpResponse<String> response = get(call);
        assertEquals("failed", answer(response), "a chain with an executed unsafe step must not look safe to retry");
        assertTrue(response.body().contains("{\"id\":\"a\",\"state\":\"served\""), response.body());
        assertTrue(response.body().contains("{\"id\":\"b\",\"state\":\"refused\""), response.body());
    }

    @Test
    void retryWithSameKey_runsOnlyMissingSteps() throws Exception {
        String chainJson = stepsJson("'key':'k1','deadline_ms':2000", stepJson("a", "once", "'client'", 0), STEP_B);
        CompletableFuture<HttpResponse<String>> first = sendChain(fixture, chainJson);
        worker.next().respond(SERVED, FOUND, "ran once");
        while (!first.isDone()) {
            FakePeer.ReceivedRequest b = worker.poll(20);
            if (b != null) {
                b.reset(io.netty.handler.codec.http2.Http2Error.INTERNAL_ERROR);
            }
        }
        assertEquals("failed", answer(get(first)));
        fixture.close(); // the gateway restarts with the same step journal
        fixture = new GatewayFixture(
                folder, "", "/>" + CHAIN_SETTINGS + "<log level=\"info\"", DispatcherFactory.CACHE_AWARE);
        fixture.announce(worker.id());
        CompletableFuture<HttpResponse<String>> retry = sendChain(fixture, chainJson);
        FakePeer.ReceivedRequest b = worker.next();
        assertEquals("/call/f-b", b.headers.path().toString(), "the first step must not be executed again");
        b.respond(SERVED, FOUND, "done");
        assertEquals("served", answer(get(retry)));
        assertEquals(1, fixture.metric("chains_resumed"));
        java.nio.file.Files.createDirectory(folder.resolve("other"));
        try (GatewayFixture other = new GatewayFixture(
                folder.resolve("other"),
                "",
                "/>" + CHAIN_SETTINGS + "<log level=\"info\"",
                DispatcherFactory.CACHE_AWARE)) {
            other.announce(worker.id());
            CompletableFuture<HttpResponse<String>> elsewhere = sendChain(other, chainJson);
            assertEquals(
                    "/call/f-a",
                    worker.next().headers.path().toString(),
                    "another gateway has no record of the finished steps");
            elsewhere.cancel(true);
        }
    }

    @Test
    void retryDuringFirstAttempt_joinsIt() throws Exception {
        String chainJson = stepsJson("'key':'k2','deadline_ms':2000", STEP_A);
        CompletableFuture<HttpResponse<String>> first = sendChain(fixture, chainJson);
        FakePeer.ReceivedRequest a = worker.next();
        CompletableFuture<HttpResponse<String>> second = sendChain(fixture, chainJson);
        GatewayFixture.await("the retry joined the chain in flight", () -> fixture.metric("chains_joined") == 1);
        assertEquals(
                "refused",
                answer(get(sendChain(fixture, chainJson.replace("'in'", "'else'")))),
                "the key belongs to a chain with other input");
        a.respond(SERVED, BEGAN, "once");
        assertTrue(get(first).body().contains("once"));
        assertTrue(get(second).body().contains("once"));
        assertTrue(worker.receivesNoCallWithin(50));
        GatewayFixture.await("no call is in flight", () -> fixture.metric("open_calls") == 0);
    }

    @Test
    void slowLoads_areLearnedDespiteDeclaredLoadTimes() throws Exception {
        String slow = stepsJson("'deadline_ms':2000", stepJson("slow", "safe", "'client'", 20));
        for (int i = 0; i < 4; i++) {
            CompletableFuture<HttpResponse<String>> call = sendChain(fixture, slow);
            FakePeer.ReceivedRequest received = worker.next();
            Thread.sleep(250); // the load that is declared as 20 ms
            received.respond(SERVED, BEGAN, "x");
            assertEquals("served", answer(get(call)));
        }
        CompletableFuture<HttpResponse<String>> failing = sendChain(fixture, slow);
        worker.next().respond(wharfhinge.protocol.AnswerCode.MISS, wharfhinge.protocol.CopyNote.LOAD_FAILED, "");
        while (!failing.isDone()) {
            FakePeer.ReceivedRequest retry = worker.poll(20);
            if (retry != null) {
                retry.respond(wharfhinge.protocol.AnswerCode.MISS, wharfhinge.protocol.CopyNote.LOAD_FAILED, "");
            }
        }
        worker.ignoreNonCalls = true;
        HttpResponse<String> response = get(sendChain(fixture, slow.replace("2000", "200")));
        assertTrue(response.body().contains("too-little-time"), response.body());
        assertTrue(worker.receivesNoCallWithin(50));
    }

    @Test
    void shutdown_answersChainsInFlight() throws Exception {
        CompletableFuture<HttpResponse<String>> call =
                sendChain(fixture, stepsJson("'deadline_ms':2400", stepJson("a", "once", "'client'", 0), STEP_B));
        worker.next();
        fixture.close();
        assertEquals("failed", answer(get(call)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'steps':[]}|$.steps: must have at least 1 items",
                "{'steps':[{'id':'a'}]}|$.steps[0]: required property 'function' not found",
                "{'steps':[{'id':'a','function':'f','class':'safe','colour':1}]}|$.steps[0]: property 'colour' is not defined",
                "{'steps':[{'id':'a','function':'f','class':'none'}]}|$.steps[0].class: found 'none', allowed: one of",
                "{'steps':[{'id':'a','function':'f','class':'flow'}]}|allowed: one of [safe, once, flow] that does not stream",
                "{'steps':[{'id':'a','function':'f','class':'safe','input':['b']}]}|$.steps[0].input: found 'b', allowed: client",
                "{'steps':[{'id':'a','function':'f','class':'safe','input':['a']}]}|$.steps[0].input: found 'a' waiting for itself",
                "{'deadline_ms':0,'chain':'save'}|$.deadline_ms: must have a minimum value of 1",
                "{'chain':'nope'}|$.chain: found 'nope', allowed: one of [save]",
                "{'steps':[|body, line 1:",
                "[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]|nesting depth",
                "{'chain':'save','chain':'save'}|Duplicate field"
            })
    void invalidChain_isRejectedWithPlaceOfFault(String chainJson, String expected) throws Exception {
        HttpResponse<String> response = get(sendChain(fixture, chainJson));
        assertEquals(400, response.statusCode());
        assertTrue(response.body().contains(expected), response.body());
    }
}
