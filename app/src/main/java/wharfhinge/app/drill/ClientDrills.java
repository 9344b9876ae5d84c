package wharfhinge.app.drill;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wharfhinge.app.drill.ClientFleet.CallCounts;
import wharfhinge.app.drill.ClientFleet.CallOutcome;
import wharfhinge.app.drill.ClientFleet.CompletedCall;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoadClients.CallClass;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.Scenario;

/** Fault injection tests of the client libraries. Each prints a table. */
final class ClientDrills {
    private static final double WARM_UP_S = 5;
    private static final int PLAIN_ATTEMPTS = 3;
    private static final double RECOVERED_SHARE = 0.95;

    private ClientDrills() {}

    /**
     * Replaces the gateways one after the other while both libraries call through them: a new process binds the same ports as the
     * old one, which then gets a signal to stop. Returns the share of calls that failed or were late meanwhile.
     */
    static double rollingRestart(Scenario scenario, Path folder, double seconds) throws Exception {
        long notServed = 0;
        long all = 0;
        System.out.println("| gateways | library | calls | served | refused | failed | late | tries | slowest ms |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        try (ClientFleet fleet = new ClientFleet(scenario, folder, "")) {
            fleet.start();
            fleet.callThroughBothLibraries(
                    WARM_UP_S, false); // not counted: loads the copies and warms up the gateways' JIT compilers
            for (boolean restart : new boolean[] {false, true}) {
                for (CallCounts counts : fleet.callThroughBothLibraries(seconds, restart)) {
                    System.out.printf(
                            "| %s | %s | %d | %d | %d | %d | %d | %d | %d |%n",
                            restart ? "each replaced" : "stand",
                            counts.library(),
                            counts.all(),
                            counts.of("served"),
                            counts.of("refused"),
                            counts.of("failed"),
                            counts.of("late"),
                            counts.attempts(),
                            counts.slowestMillis());
                    all += restart ? counts.all() : 0;
                    notServed += restart ? counts.of("failed") + counts.of("late") : 0;
                }
            }
        }
        System.out.println(notServed == 0 ? "no call failed or was late" : notServed + " calls failed or were late");
        return notServed / (double) Math.max(1, all);
    }

    /** A naive client: up to three attempts without back-off, each with the whole deadline, as hand-written retry loops have it. */
    private static ClientFleet.Caller plainLoop(List<HttpCaller> gateways) {
        return new ClientFleet.Caller() {
            @Override
            public void call(String function, CallClass callClass, String tenant, Consumer<CallOutcome> onEnd) {
                attempt(function, callClass, 1, onEnd);
            }

            private void attempt(String function, CallClass callClass, int attemptNumber, Consumer<CallOutcome> onEnd) {
                HttpCaller gateway = gateways.get(ThreadLocalRandom.current().nextInt(gateways.size()));
                Map<String, String> headers = Map.of(
                        "wh-class",
                        callClass.name(),
                        "wh-deadline-ms",
                        Long.toString(callClass.deadlineMillis()),
                        "wh-memory-mb",
                        Double.toString(callClass.memoryMb()),
                        "wh-lanes",
                        Integer.toString(callClass.lanes()),
                        "wh-load-ms",
                        Double.toString(callClass.loadMillis()),
                        "wh-cost-us",
                        Long.toString((long) (callClass.workMillis() * 1000)));
                gateway.call(
                        HttpMethod.POST,
                        "/v1/call/" + function,
                        headers,
                        new byte[0],
                        new HttpCaller.ResponseHandler() {
                            @Override
                            public void answered(int status, HttpHeaders replyHeaders, byte[] body) {
                                if (status == 200 || attemptNumber == PLAIN_ATTEMPTS) {
                                    onEnd.accept(new CallOutcome(
                                            status == 200 ? "served" : status == 503 ? "refused" : "failed",
                                            attemptNumber));
                                } else {
                                    attempt(function, callClass, attemptNumber + 1, onEnd);
                                }
                            }

                            @Override
                            public void broken(boolean wasSent) {
                                if (attemptNumber == PLAIN_ATTEMPTS) {
                                    onEnd.accept(new CallOutcome("failed", attemptNumber));
                                } else {
                                    attempt(function, callClass, attemptNumber + 1, onEnd);
                                }
                            }
                        });
            }
        };
    }

    /** Overloads the fleet for ten seconds, once with clients of the library and once with naive retry loops. */
    static void retryStorm(Scenario scenario, Path folder, double capacityPerS) throws Exception {
        System.out.println(
                "| clients | in time before | calls in the storm | in time | tries a call | in time after it | as before after s |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        double beforeSeconds = 4;
        double stormSeconds = 10;
        double afterSeconds = 8;
        for (String clientKind : List.of("library over http", "plain loop of three tries")) {
            EventLoopGroup group = LoopbackServers.group(2);
            try (ClientFleet fleet = new ClientFleet(scenario, folder.resolve(clientKind.substring(0, 5)), "")) {
                fleet.start();
                WharfhingeClient client = fleet.client("http");
                List<HttpCaller> plainClients = new ArrayList<>();
                fleet.ports().forEach(port -> plainClients.add(new HttpCaller(group, port)));
                ClientFleet.Caller caller =
                        clientKind.startsWith("library") ? ClientFleet.caller(client) : plainLoop(plainClients);
                fleet.load(caller, null, WARM_UP_S, s -> 0.5 * capacityPerS);
                List<CompletedCall> all = fleet.load(
                        caller,
                        null,
                        beforeSeconds + stormSeconds + afterSeconds,
                        s -> s >= beforeSeconds && s < beforeSeconds + stormSeconds
                                ? 1.5 * capacityPerS
                                : 0.5 * capacityPerS);
                client.close();
                List<CompletedCall> stormCalls = all.stream()
                        .filter(e -> e.dueMillis() >= beforeSeconds * 1000
                                && e.dueMillis() < (beforeSeconds + stormSeconds) * 1000)
                        .toList();
                List<CompletedCall> laterCalls = all.stream()
                        .filter(e -> e.dueMillis() >= (beforeSeconds + stormSeconds) * 1000)
                        .toList();
                double shareBefore = inTime(all.stream()
                        .filter(e -> e.dueMillis() < beforeSeconds * 1000)
                        .toList());
                int recoverySeconds = 0; // first second after the storm from which on the share in time is as before it
                for (int second = (int) afterSeconds - 1; second >= 0; second--) {
                    int from = (int) ((beforeSeconds + stormSeconds) * 1000) + 1000 * second;
                    if (inTime(laterCalls.stream()
                                    .filter(e -> e.dueMillis() >= from && e.dueMillis() < from + 1000)
                                    .toList())
                            < RECOVERED_SHARE * shareBefore) {
                        recoverySeconds = second + 1;
                        break;
                    }
                }
                System.out.printf(
                        "| %s | %.1f%% | %d | %.1f%% | %.2f | %.1f%% | %s |%n",
                        clientKind,
                        100 * shareBefore,
                        stormCalls.size(),
                        100 * inTime(stormCalls),
                        stormCalls.stream()
                                .mapToInt(e -> e.outcome().attempts())
                                .average()
                                .orElse(0),
                        100 * inTime(laterCalls),
                        recoverySeconds == (int) afterSeconds
                                ? "not within " + recoverySeconds
                                : Integer.toString(recoverySeconds));
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }
    }

    private static double inTime(List<CompletedCall> calls) {
        return calls.stream().filter(CompletedCall::inTime).count() / (double) Math.max(1, calls.size());
    }

    /**
     * Runs a tenant within its share alone and beside a tenant at ten times its share, both with and without admission control by tenant.
     */
    static void flood(Scenario scenario, Path folder, double capacityPerS, double fullAt) throws Exception {
        String admissionSettings = "<door full-at='" + fullAt
                + "'><tenant name='calm' weight='1'/><tenant name='flood' weight='1'/></door>\n  ";
        System.out.println("| door | flood | calm's calls | in time | p50 ms | p99 ms | flood's in time a second |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        double seconds = 12;
        for (String extraSettings : List.of(admissionSettings, "")) {
            try (ClientFleet fleet = new ClientFleet(
                    scenario, folder.resolve(extraSettings.isEmpty() ? "without" : "with"), extraSettings)) {
                fleet.start();
                for (boolean flooded : new boolean[] {false, true}) {
                    WharfhingeClient calmClient = fleet.client("http");
                    WharfhingeClient floodClient = fleet.client("http");
                    fleet.load(ClientFleet.caller(calmClient), "calm", WARM_UP_S, s -> 0.3 * capacityPerS);
                    List<CompletedCall> floodCalls = new ArrayList<>();
                    Thread floodThread = new Thread(() -> floodCalls.addAll(
                            fleet.load(ClientFleet.caller(floodClient), "flood", seconds, s -> 5 * capacityPerS)));
                    if (flooded) {
                        floodThread.start();
                    }
                    List<CompletedCall> calmCalls =
                            fleet.load(ClientFleet.caller(calmClient), "calm", seconds, s -> 0.3 * capacityPerS);
                    floodThread.join();
                    calmClient.close();
                    floodClient.close();
                    List<Long> latencies = calmCalls.stream()
                            .filter(e -> e.outcome().kind().equals("served"))
                            .map(CompletedCall::tookMillis)
                            .sorted()
                            .toList();
                    System.out.printf(
                            "| %s | %s | %d | %.1f%% | %d | %d | %.0f |%n",
                            extraSettings.isEmpty() ? "none" : "by tenant",
                            flooded ? "yes" : "no",
                            calmCalls.size(),
                            100.0
                                    * calmCalls.stream()
                                            .filter(CompletedCall::inTime)
                                            .count()
                                    / calmCalls.size(),
                            latencies.get(latencies.size() / 2),
                            latencies.get((int) (latencies.size() * 0.99)),
                            floodCalls.stream().filter(CompletedCall::inTime).count() / seconds);
                }
            }
        }
    }
}
