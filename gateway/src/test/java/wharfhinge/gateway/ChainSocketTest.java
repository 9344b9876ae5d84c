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

/** Chains over real sockets, and their faults. */
@Timeout(60)
class ChainSocketTest {
    private static final String KEEP =
            "<chains resume-file=\"steps\"><chain name=\"save\" aim-ms=\"900\"><step id=\"a\" "
                    + "function=\"f\" class=\"safe\"/><step id=\"b\" function=\"g\" class=\"safe\" input=\"a client\"/></chain></chains>";

    private static final Pattern CONTENT_LENGTH = Pattern.compile("\r\ncontent-length: (\\d+)\r\n");

    @TempDir
    private Path folder;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FakePeer worker;
    private GatewayFixture rig;

    @BeforeEach
    void begin() throws Exception {
        worker = new FakePeer(null);
        rig = new GatewayFixture(folder, "", "/>" + KEEP + "<log level=\"info\"", DispatcherFactory.CACHE_AWARE);
        rig.announce(worker.id());
    }

    @AfterEach
    void end() throws Exception {
        rig.close();
        worker.close();
    }

    private CompletableFuture<HttpResponse<String>> chain(GatewayFixture at, String json) {
        return client.sendAsync(
                HttpRequest.newBuilder(at.uri("/v1/chain"))
                        .POST(HttpRequest.BodyPublishers.ofString(json.replace('\'', '"')))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** A chain as bytes of HTTP/1.1. */
    private static byte[] rawChain(String json) {
        String body = json.replace('\'', '"');
        return ("POST /v1/chain HTTP/1.1\r\nhost: x\r\ncontent-length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one response to the last byte of its body, which {@code content-length} bounds. */
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

    private static String steps(String head, String... steps) {
        return "{" + head + ",'input':'in','steps':[" + String.join(",", steps) + "]}";
    }

    private static String step(String id, String type, String input, int loadMillis) {
        return "{'id':'" + id + "','function':'f-" + id + "','class':'" + type + "','input':[" + input + "],'load_ms':"
                + loadMillis + ",'cost_us':20000}";
    }

    private static final String A = step("a", "safe", "'client'", 0);
    private static final String B = step("b", "safe", "'a','client'", 0);

    @Test
    void steps_runInOrderAndPassOutputsOn() throws Exception {
        CompletableFuture<HttpResponse<String>> call = chain(rig, steps("'id':'c1','deadline_ms':2000", A, B));
        FakePeer.ReceivedRequest a = worker.next();
        assertEquals("/call/f-a", a.headers.path().toString());
        assertEquals("c1.a", a.headers.get("wh-call").toString());
        a.respond(SERVED, FOUND, "from a");
        FakePeer.ReceivedRequest b = worker.next();
        int left = Integer.parseInt(b.headers.get("wh-deadline-ms").toString());
        assertTrue(left < 2000, "one deadline for both");
        b.respond(SERVED, FOUND, "done");
        HttpResponse<String> response = get(call);
        assertEquals(200, response.statusCode());
        assertTrue(response.body().contains("\"output\":\"done\""), response.body());
        assertTrue(!response.body().contains("from a"), "only the last steps' answers go out");
    }

    @Test
    void namedChain_runsAsConfigured() throws Exception {
        CompletableFuture<HttpResponse<String>> call = chain(rig, "{'chain':'save','input':'x'}");
        worker.next().respond(SERVED, FOUND, "1");
        worker.next().respond(SERVED, FOUND, "2");
        assertEquals("served", answer(get(call)));
    }

    @Test
    void loadBeyondDeadline_isRejectedBeforeAnyStep() throws Exception {
        HttpResponse<String> response =
                get(chain(rig, steps("'deadline_ms':400", A, step("cold", "safe", "'a'", 900))));
        assertEquals("refused", answer(response));
        assertTrue(response.body().contains("too-little-time"), response.body());
        assertTrue(worker.gotNothingWithin(50), "work was begun for a chain without hope");
    }

    @Test
    void unknownFunctionInLastStep_isTriedAndLoaded() throws Exception {
        CompletableFuture<HttpResponse<String>> call = chain(
                rig,
                steps("'deadline_ms':2000", A, "{'id':'new','function':'never-seen','class':'safe','input':['a']}"));
        worker.next().respond(SERVED, FOUND, "a");
        FakePeer.ReceivedRequest in = worker.next();
        assertEquals(
                "/call/never-seen",
                in.headers.path().toString(),
                "nothing is known of it, which is no reason to refuse");
        Thread.sleep(100); // its load
        in.respond(SERVED, BEGAN, "loaded");
        HttpResponse<String> response = get(call);
        assertTrue(answer(response).equals("served") && response.body().contains("loaded"), response.body());
    }

    @Test
    void lateFirstStep_endsChainBeforeDeadline() throws Exception {
        worker.ignoreNonCalls = true; // the load that is ordered ahead does not end in time
        long began = System.nanoTime();
        CompletableFuture<HttpResponse<String>> call =
                chain(rig, steps("'deadline_ms':950", A, step("cold", "safe", "'a'", 900)));
        FakePeer.ReceivedRequest a = worker.next();
        Thread.sleep(290); // under the patience after which the call would be tried again
        a.respond(SERVED, FOUND, "late");
        assertEquals("refused", answer(get(call)));
        assertTrue(System.nanoTime() - began < 900_000_000L, "refused early, not at its deadline");
        assertEquals(1, rig.metric("chain_ahead_ordered"));
        assertEquals(1, rig.metric("chain_ahead_unused"));
        assertTrue(worker.gotNothingWithin(50));
    }

    @Test
    void silentFirstWorker_givesOneAnswerByDeadline() throws Exception {
        byte[] request = rawChain(steps("'deadline_ms':500", step("a", "once", "'client'", 0), B));
        try (Socket socket = new Socket("127.0.0.1", rig.gateway.address().getPort())) {
            // neither the process's first connection nor how long an HTTP client takes to load its classes is measured
            socket.getOutputStream()
                    .write("GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            readResponse(socket.getInputStream());
            long began = System.nanoTime();
            socket.getOutputStream().write(request);
            String response = readResponse(socket.getInputStream());
            long tookNanos = System.nanoTime() - began;
            assertTrue(response.contains("\r\nwh-answer: failed\r\n"), "the first step may have run: " + response);
            assertTrue(response.contains("\"state\":\"may-have-run\""), response);
            assertTrue(tookNanos < 520_000_000L, () -> "took " + tookNanos + " ns");
        }
    }

    @Test
    void failedBranch_endsChainAndResetsSibling() throws Exception {
        CompletableFuture<HttpResponse<String>> call = chain(
                rig,
                steps(
                        "'deadline_ms':2000",
                        step("a", "once", "'client'", 0),
                        step("b", "safe", "'client'", 0),
                        step("c", "safe", "'a','b'", 0)));
        FakePeer.ReceivedRequest one = worker.next();
        FakePeer.ReceivedRequest two = worker.next();
        FakePeer.ReceivedRequest a = one.headers.path().toString().endsWith("f-a") ? one : two;
        a.reset(io.netty.handler.codec.http2.Http2Error.INTERNAL_ERROR);
        assertEquals("failed", answer(get(call)));
        assertTrue(worker.resets.poll(2, TimeUnit.SECONDS) != null, "the twin goes on for nothing");
    }

    @Test
    void clientCancelAtSecondStep_preventsThird() throws Exception {
        Socket socket = new Socket("127.0.0.1", rig.gateway.address().getPort());
        socket.getOutputStream().write(rawChain(steps("'deadline_ms':2000", A, B, step("c", "safe", "'b'", 0))));
        worker.next().respond(SERVED, FOUND, "a");
        worker.next();
        socket.close();
        assertTrue(worker.resets.poll(2, TimeUnit.SECONDS) != null, "the second step goes on for nothing");
        assertTrue(worker.gotNothingWithin(100));
        assertEquals(1, rig.metric("chain_left"));
        GatewayFixture.await("nothing is open", () -> rig.metric("open_calls") == 0);
    }

    @Test
    void rejectedStepAfterUnsafeStep_reportsWhatRan() throws Exception {
        CompletableFuture<HttpResponse<String>> call =
                chain(rig, steps("'deadline_ms':2000", step("a", "once", "'client'", 0), B));
        worker.next().respond(SERVED, FOUND, "ran");
        while (!call.isDone()) { // as often as it is tried: that is not this test's
            FakePeer.ReceivedRequest b = worker.poll(20);
            if (b != null) {
                b.respond(FULL, NONE, "");
            }
        }
        HttpResponse<String> response = get(call);
        assertEquals("failed", answer(response), "no word that a repeat is harmless");
        assertTrue(response.body().contains("{\"id\":\"a\",\"state\":\"served\""), response.body());
        assertTrue(response.body().contains("{\"id\":\"b\",\"state\":\"refused\""), response.body());
    }

    @Test
    void retryWithSameKey_runsOnlyMissingSteps() throws Exception {
        String json = steps("'key':'k1','deadline_ms':2000", step("a", "once", "'client'", 0), B);
        CompletableFuture<HttpResponse<String>> first = chain(rig, json);
        worker.next().respond(SERVED, FOUND, "ran once");
        while (!first.isDone()) {
            FakePeer.ReceivedRequest b = worker.poll(20);
            if (b != null) {
                b.reset(io.netty.handler.codec.http2.Http2Error.INTERNAL_ERROR);
            }
        }
        assertEquals("failed", answer(get(first)));
        rig.close(); // the same gateway, restarted with its table
        rig = new GatewayFixture(folder, "", "/>" + KEEP + "<log level=\"info\"", DispatcherFactory.CACHE_AWARE);
        rig.announce(worker.id());
        CompletableFuture<HttpResponse<String>> again = chain(rig, json);
        FakePeer.ReceivedRequest b = worker.next();
        assertEquals("/call/f-b", b.headers.path().toString(), "the first step ran twice");
        b.respond(SERVED, FOUND, "done");
        assertEquals("served", answer(get(again)));
        assertEquals(1, rig.metric("chains_resumed"));
        java.nio.file.Files.createDirectory(folder.resolve("other"));
        try (GatewayFixture other = new GatewayFixture(
                folder.resolve("other"), "", "/>" + KEEP + "<log level=\"info\"", DispatcherFactory.CACHE_AWARE)) {
            other.announce(worker.id());
            CompletableFuture<HttpResponse<String>> elsewhere = chain(other, json);
            assertEquals("/call/f-a", worker.next().headers.path().toString(), "another gateway does not know them");
            elsewhere.cancel(true);
        }
    }

    @Test
    void retryDuringFirstAttempt_joinsIt() throws Exception {
        String json = steps("'key':'k2','deadline_ms':2000", A);
        CompletableFuture<HttpResponse<String>> first = chain(rig, json);
        FakePeer.ReceivedRequest a = worker.next();
        CompletableFuture<HttpResponse<String>> second = chain(rig, json);
        GatewayFixture.await("it joined", () -> rig.metric("chains_joined") == 1);
        assertEquals("refused", answer(get(chain(rig, json.replace("'in'", "'else'")))), "the key is another chain's");
        a.respond(SERVED, BEGAN, "once");
        assertTrue(get(first).body().contains("once"));
        assertTrue(get(second).body().contains("once"));
        assertTrue(worker.gotNothingWithin(50));
        GatewayFixture.await("nothing is open", () -> rig.metric("open_calls") == 0);
    }

    @Test
    void slowLoads_areLearnedDespiteDeclaredLoadTimes() throws Exception {
        String slow = steps("'deadline_ms':2000", step("slow", "safe", "'client'", 20));
        for (int i = 0; i < 4; i++) {
            CompletableFuture<HttpResponse<String>> call = chain(rig, slow);
            FakePeer.ReceivedRequest in = worker.next();
            Thread.sleep(250); // the load that was told as 20 ms
            in.respond(SERVED, BEGAN, "x");
            assertEquals("served", answer(get(call)));
        }
        CompletableFuture<HttpResponse<String>> gone = chain(rig, slow);
        worker.next().respond(wharfhinge.protocol.AnswerCode.MISS, wharfhinge.protocol.CopyNote.LOAD_FAILED, "");
        while (!gone.isDone()) {
            FakePeer.ReceivedRequest again = worker.poll(20);
            if (again != null) {
                again.respond(wharfhinge.protocol.AnswerCode.MISS, wharfhinge.protocol.CopyNote.LOAD_FAILED, "");
            }
        }
        worker.ignoreNonCalls = true;
        HttpResponse<String> response = get(chain(rig, slow.replace("2000", "200")));
        assertTrue(response.body().contains("too-little-time"), response.body());
        assertTrue(worker.gotNothingWithin(50));
    }

    @Test
    void shutdown_answersChainsInFlight() throws Exception {
        CompletableFuture<HttpResponse<String>> call =
                chain(rig, steps("'deadline_ms':2400", step("a", "once", "'client'", 0), B));
        worker.next();
        rig.close();
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
    void invalidChain_isRejectedWithPlaceOfFault(String json, String expected) throws Exception {
        HttpResponse<String> response = get(chain(rig, json));
        assertEquals(400, response.statusCode());
        assertTrue(response.body().contains(expected), response.body());
    }
}
