package wharfhinge.app.drill;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import wharfhinge.app.drill.ClientFleet.CompletedCall;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.standin.Scenario;

/**
 * Overloads a fleet over sockets for ten seconds; prints for each span of two seconds how its calls ended and how many copies the fleet
 * held.
 */
final class StormDrill {
    private static final int BEFORE_S = 6;
    private static final int STORM_S = 10;
    private static final int AFTER_S = 16;
    private static final int SPAN_S = 2;
    private static final double WARM_UP_S = 12;
    private static final double RECOVERY_S = 4;
    private static final double RECOVERED_SHARE = 0.98;

    private final Scenario scenario;
    private final double capacityPerS;
    private final double peak;

    StormDrill(Scenario scenario, double peak) {
        this.scenario = scenario;
        this.peak = peak;
        this.capacityPerS = scenario.workers().count()
                * scenario.workers().cores()
                * 1000.0
                / scenario.offeredTraffic().classes().get(0).workMillis();
    }

    /** Runs the test. Returns whether, from {@link #RECOVERY_S} seconds after the storm on, the share in time was what it was before. */
    boolean run(Path folder) throws Exception {
        int seconds = BEFORE_S + STORM_S + AFTER_S;
        List<int[]> copyCounts = new ArrayList<>();
        List<CompletedCall> allCalls;
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        try (ClientFleet fleet = new ClientFleet(scenario, folder, "")) {
            fleet.start();
            WharfhingeClient client = fleet.client("http");
            ClientFleet.Caller caller = ClientFleet.caller(client);
            fleet.load(caller, null, WARM_UP_S, s -> 0.5 * capacityPerS);
            copyCounts.add(fleet.copies());
            sampler.scheduleAtFixedRate(() -> copyCounts.add(fleet.copies()), SPAN_S, SPAN_S, TimeUnit.SECONDS);
            allCalls = fleet.load(
                    caller,
                    null,
                    seconds,
                    s -> s >= BEFORE_S && s < BEFORE_S + STORM_S ? peak * capacityPerS : 0.5 * capacityPerS);
            client.close();
        } finally {
            sampler.shutdownNow();
        }
        System.out.println(
                "| from s | calls | in time | at most | late | refused | not answered | tries a call | copies / functions | loads |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int fromSecond = 0; fromSecond < seconds; fromSecond += SPAN_S) {
            List<CompletedCall> span = between(allCalls, fromSecond, fromSecond + SPAN_S);
            int spanIndex = Math.min(fromSecond / SPAN_S + 1, copyCounts.size() - 1);
            long served = count(span, "served");
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %d | %.1f%% | %.1f%% | %d | %d | %d | %.2f | %d / %d | %d |%n",
                    fromSecond,
                    span.size(),
                    100 * inTime(span),
                    100 * Math.min(1, capacityPerS * SPAN_S / Math.max(1, span.size())),
                    served - span.stream().filter(CompletedCall::inTime).count(),
                    count(span, "refused"),
                    span.size() - served - count(span, "refused"),
                    span.stream()
                            .mapToInt(e -> e.outcome().attempts())
                            .average()
                            .orElse(0),
                    copyCounts.get(spanIndex)[0],
                    copyCounts.get(spanIndex)[1],
                    copyCounts.get(spanIndex)[2] - copyCounts.get(spanIndex - 1)[2]);
        }
        double shareBefore = inTime(between(allCalls, 0, BEFORE_S));
        List<CompletedCall> stormCalls = between(allCalls, BEFORE_S, BEFORE_S + STORM_S);
        double attainableShare = Math.min(1, capacityPerS * STORM_S / Math.max(1, stormCalls.size()));
        double shareDuringRecovery = inTime(between(allCalls, BEFORE_S + STORM_S, BEFORE_S + STORM_S + RECOVERY_S));
        double shareAfterRecovery = inTime(between(allCalls, BEFORE_S + STORM_S + RECOVERY_S, seconds));
        System.out.printf(
                Locale.ROOT,
                "in time: before %.1f%%, in the storm %.1f%% (%.2f of what can be), within %.0f s after it %.1f%%, "
                        + "later %.1f%%%n",
                100 * shareBefore,
                100 * inTime(stormCalls),
                inTime(stormCalls) / attainableShare,
                RECOVERY_S,
                100 * shareDuringRecovery,
                100 * shareAfterRecovery);
        return shareAfterRecovery >= RECOVERED_SHARE * shareBefore;
    }

    private static List<CompletedCall> between(List<CompletedCall> calls, double fromS, double toS) {
        return calls.stream()
                .filter(e -> e.dueMillis() >= fromS * 1000 && e.dueMillis() < toS * 1000)
                .toList();
    }

    private static long count(List<CompletedCall> calls, String kind) {
        return calls.stream().filter(e -> e.outcome().kind().equals(kind)).count();
    }

    private static double inTime(List<CompletedCall> calls) {
        return calls.stream().filter(CompletedCall::inTime).count() / (double) Math.max(1, calls.size());
    }
}
