package wharfhinge.app.drill;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import wharfhinge.app.drill.ClientFleet.Ended;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.standin.Scenario;

/** Too many calls for ten seconds, over sockets: what each span of two seconds brought, and what the fleet held at its end. */
final class StormDrill {
    private static final int BEFORE_S = 6;
    private static final int STORM_S = 10;
    private static final int AFTER_S = 16;
    private static final int SPAN_S = 2;
    private static final double WARM_UP_S = 12;
    private static final double SOON_S = 4;
    private static final double WELL = 0.98;

    private final Scenario scenario;
    private final double capacityPerS;
    private final double peak;

    StormDrill(Scenario scenario, double peak) {
        this.scenario = scenario;
        this.peak = peak;
        this.capacityPerS = scenario.workers().count()
                * scenario.workers().cores()
                * 1000.0
                / scenario.offered().classes().get(0).workMillis();
    }

    /** Plays it; whether all was as before within the seconds after it that count as soon. */
    boolean play(Path folder) throws Exception {
        int seconds = BEFORE_S + STORM_S + AFTER_S;
        List<int[]> held = new ArrayList<>();
        List<Ended> all;
        ScheduledExecutorService looks = Executors.newSingleThreadScheduledExecutor();
        try (ClientFleet fleet = new ClientFleet(scenario, folder, "")) {
            fleet.start();
            WharfhingeClient client = fleet.client("http");
            ClientFleet.Caller caller = ClientFleet.caller(client);
            fleet.load(caller, null, WARM_UP_S, s -> 0.5 * capacityPerS);
            held.add(fleet.copies());
            looks.scheduleAtFixedRate(() -> held.add(fleet.copies()), SPAN_S, SPAN_S, TimeUnit.SECONDS);
            all = fleet.load(
                    caller,
                    null,
                    seconds,
                    s -> s >= BEFORE_S && s < BEFORE_S + STORM_S ? peak * capacityPerS : 0.5 * capacityPerS);
            client.close();
        } finally {
            looks.shutdownNow();
        }
        System.out.println(
                "| from s | calls | in time | at most | late | refused | not answered | tries a call | copies / functions | loads |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int from = 0; from < seconds; from += SPAN_S) {
            List<Ended> span = between(all, from, from + SPAN_S);
            int i = Math.min(from / SPAN_S + 1, held.size() - 1);
            long served = count(span, "served");
            System.out.printf(
                    Locale.ROOT,
                    "| %d | %d | %.1f%% | %.1f%% | %d | %d | %d | %.2f | %d / %d | %d |%n",
                    from,
                    span.size(),
                    100 * inTime(span),
                    100 * Math.min(1, capacityPerS * SPAN_S / Math.max(1, span.size())),
                    served - span.stream().filter(Ended::inTime).count(),
                    count(span, "refused"),
                    span.size() - served - count(span, "refused"),
                    span.stream().mapToInt(e -> e.answer().tries()).average().orElse(0),
                    held.get(i)[0],
                    held.get(i)[1],
                    held.get(i)[2] - held.get(i - 1)[2]);
        }
        double before = inTime(between(all, 0, BEFORE_S));
        List<Ended> storm = between(all, BEFORE_S, BEFORE_S + STORM_S);
        double can = Math.min(1, capacityPerS * STORM_S / Math.max(1, storm.size()));
        double soon = inTime(between(all, BEFORE_S + STORM_S, BEFORE_S + STORM_S + SOON_S));
        double later = inTime(between(all, BEFORE_S + STORM_S + SOON_S, seconds));
        System.out.printf(
                Locale.ROOT,
                "in time: before %.1f%%, in the storm %.1f%% (%.2f of what can be), within %.0f s after it %.1f%%, "
                        + "later %.1f%%%n",
                100 * before,
                100 * inTime(storm),
                inTime(storm) / can,
                SOON_S,
                100 * soon,
                100 * later);
        return later >= WELL * before;
    }

    private static List<Ended> between(List<Ended> all, double fromS, double toS) {
        return all.stream()
                .filter(e -> e.dueMillis() >= fromS * 1000 && e.dueMillis() < toS * 1000)
                .toList();
    }

    private static long count(List<Ended> of, String kind) {
        return of.stream().filter(e -> e.answer().kind().equals(kind)).count();
    }

    private static double inTime(List<Ended> of) {
        return of.stream().filter(Ended::inTime).count() / (double) Math.max(1, of.size());
    }
}
