package wharfhinge.worker;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import wharfhinge.standin.Http2Caller;
import wharfhinge.standin.LoopbackServers;

/** A connection to a worker like that of a gateway. */
final class TestGateway implements AutoCloseable {
    private final EventLoopGroup group = LoopbackServers.group(1);
    private final Http2Caller caller;

    /** The response to a request. */
    record Answer(
            int status, String outcome, String note, String count, String report, String incarnation, String body) {}

    /** A request in flight. */
    record Open(Http2Caller.Exchange exchange) {
        Answer get() throws Exception {
            Http2Caller.Answer answer = exchange.answer().get(20, TimeUnit.SECONDS);
            return new Answer(
                    answer.status(),
                    answer.headers().get("wh-outcome"),
                    answer.headers().get("wh-note"),
                    answer.headers().get("wh-count"),
                    answer.headers().get("wh-report"),
                    answer.headers().get("wh-boot"),
                    new String(answer.body(), StandardCharsets.UTF_8));
        }

        void reset() {
            exchange.reset();
        }
    }

    TestGateway(int port) {
        caller = new Http2Caller(group, port);
    }

    /** Waits some seconds for the worker's GOAWAY; fails if there is none. */
    boolean receivedGoAway() throws Exception {
        caller.goAway().get(5, TimeUnit.SECONDS);
        return true;
    }

    Open call(String function, String input, String... headers) {
        return send(HttpMethod.POST, "/call/" + function, input, headers);
    }

    Open orderCopies(String function, int count, String... headers) {
        return send(HttpMethod.PUT, "/copies/" + function + "?count=" + count, "", headers);
    }

    Map<String, Long> memoryStatus() throws Exception {
        Map<String, Long> figures = new LinkedHashMap<>();
        send(HttpMethod.GET, "/memory", "")
                .get()
                .body
                .lines()
                .map(line -> line.split(" "))
                .forEach(pair -> figures.put(pair[0], Long.parseLong(pair[1])));
        return figures;
    }

    Open send(HttpMethod method, String path, String body, String... headers) {
        return new Open(caller.open(method, path, body.getBytes(StandardCharsets.UTF_8), headers));
    }

    @Override
    public void close() {
        caller.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
