package wharfhinge.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import wharfhinge.config.GatewayConfig;
import wharfhinge.config.InvalidConfigurationException;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;

/** A gateway in this process with an endpoint list that the test announces, and an HTTP client for it. */
final class GatewayFixture implements AutoCloseable {
    /** Settings with the placeholders CLIENTS, WORKERS, ROSTER and MORE. */
    static final String SETTINGS =
            """
        <wharfhinge xmlns="urn:wharfhinge:settings:1">
          <gateway name="gw" zone="z"/>
          <clients port="0" max-body-kb="64" max-header-kb="4" max-connections="6000" stop-within-ms="1000" CLIENTS/>
          <workers max-answer-kb="1024" probes="false" WORKERS>
            <kind name="k" memory-mb="4096"/>
            <loading not-loaded="load" keep-ms="8000"/>
          </workers>
          <zones names="z"/>
          <classes>
            <class name="safe" effect="idempotent" aim-ms="600" give-up-ms="2500"/>
            <class name="once" effect="at-most-once" aim-ms="600" give-up-ms="2500"/>
            <class name="flow" effect="idempotent" aim-ms="600" give-up-ms="2500" stream="true"/>
          </classes>
          <rules stop-sending-within-ms="2000" cold-from="0.2" warm-after-ms="8000" overload-factor="2" tip-after-ms="1000"/>
          <roster url="http://127.0.0.1:ROSTER" remembered="list" silent-after-ms="1500" reconnect-most-ms="200"/>
          <grpc port="0" reflection="true"/>
          <!--MORE-->
        </wharfhinge>
        """;

    final Gateway gateway;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Consumer<EndpointUpdate> endpointUpdates;
    private long revision = 1;

    /** Starts a gateway; {@code workerAttributes} are added to its {@code workers} element. */
    GatewayFixture(Path folder, String workerAttributes, DispatcherFactory dispatcherFactory) throws Exception {
        this(folder, workerAttributes, "", dispatcherFactory);
    }

    GatewayFixture(Path folder, String workerAttributes, String clientAttributes, DispatcherFactory dispatcherFactory)
            throws Exception {
        this(folder, workerAttributes, clientAttributes, "", dispatcherFactory);
    }

    GatewayFixture(
            Path folder,
            String workerAttributes,
            String clientAttributes,
            String extraElements,
            DispatcherFactory dispatcherFactory)
            throws Exception {
        this(config(folder, workerAttributes, clientAttributes, extraElements, 1), dispatcherFactory);
    }

    /** Starts a gateway whose settings {@code edit} has changed. */
    GatewayFixture(
            Path folder, String workerAttributes, UnaryOperator<String> edit, DispatcherFactory dispatcherFactory)
            throws Exception {
        this(load(folder, edit.apply(settingsText(workerAttributes, "", "", 1))), dispatcherFactory);
    }

    private GatewayFixture(GatewayConfig config, DispatcherFactory dispatcherFactory) throws Exception {
        gateway = new Gateway(
                config,
                dispatcherFactory,
                (group, eventLoopType) -> EndpointSource.pushedBy(updates -> endpointUpdates = updates));
        gateway.start();
    }

    static GatewayConfig config(Path folder, String workerAttributes, String clientAttributes, int rosterPort)
            throws IOException, InvalidConfigurationException {
        return config(folder, workerAttributes, clientAttributes, "", rosterPort);
    }

    private static GatewayConfig config(
            Path folder, String workerAttributes, String clientAttributes, String extraElements, int rosterPort)
            throws IOException, InvalidConfigurationException {
        return load(folder, settingsText(workerAttributes, clientAttributes, extraElements, rosterPort));
    }

    private static String settingsText(
            String workerAttributes, String clientAttributes, String extraElements, int rosterPort) {
        return SETTINGS.replace("WORKERS", workerAttributes)
                .replace("CLIENTS", clientAttributes)
                .replace("<!--MORE-->", extraElements)
                .replace("ROSTER", Integer.toString(rosterPort));
    }

    private static GatewayConfig load(Path folder, String settingsText)
            throws IOException, InvalidConfigurationException {
        Path file = folder.resolve("gw.xml");
        Files.writeString(file, settingsText);
        return GatewayConfig.load(file);
    }

    static RosterEntry entry(String id, State state, String boot) {
        return new RosterEntry(id, "z", "k", 0, state, 1, 1_000_000, boot);
    }

    void announce(String... workerIds) {
        List<RosterEntry> entries = new ArrayList<>();
        for (String worker : workerIds) {
            entries.add(entry(worker, State.UP, "b0"));
        }
        endpointUpdates.accept(new EndpointUpdate(EndpointUpdateMode.FULL, revision++, entries));
    }

    void announceChange(RosterEntry entry) {
        endpointUpdates.accept(new EndpointUpdate(EndpointUpdateMode.INCREMENTAL, revision++, List.of(entry)));
    }

    CompletableFuture<HttpResponse<String>> call(String requestClass, String function, int deadlineMillis) {
        HttpRequest request = HttpRequest.newBuilder(uri("/v1/call/" + function))
                .timeout(Duration.ofSeconds(10))
                .header("wh-class", requestClass)
                .header("wh-deadline-ms", Integer.toString(deadlineMillis))
                .POST(HttpRequest.BodyPublishers.ofString("input"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    URI uri(String path) {
        InetSocketAddress address = gateway.address();
        return URI.create("http://127.0.0.1:" + address.getPort() + path);
    }

    static HttpResponse<String> get(CompletableFuture<HttpResponse<String>> call) throws Exception {
        return call.get(10, TimeUnit.SECONDS);
    }

    static String answer(HttpResponse<String> response) {
        return response.headers().firstValue("wh-answer").orElse("none");
    }

    long metric(String name) {
        return gateway.metrics().get(name);
    }

    static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + 5_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within 5 s: " + description);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws InterruptedException {
        gateway.stop();
    }
}
