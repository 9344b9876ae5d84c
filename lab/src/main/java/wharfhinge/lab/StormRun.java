package wharfhinge.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Endpoint;

/**
 * Simulates a {@link Storm} with real dispatchers. Two limits bound the calls that can be served in time in a span. The first is the
 * number of calls that the cores can run. The second is what a scheduler that knows all arrivals could serve: the calls of the functions
 * called most per memory unit in the span, as many functions as fit once each into the memory of all workers, plus one call for each load
 * that the store can complete in the span.
 */
public final class StormRun {
    private static final double SPAN_S = 2;

    private final Storm storm;
    private final Timeline time = new Timeline();
    private final UniformRandomProvider random;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Span> spans = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final Gateway.DispatcherConstructor dispatcherConstructor;
    private final double[] popularity;
    private final Store store;
    private final long measuredFrom;
    private int popularityShift; // by how many ranks the popularity of the functions is shifted
    private int dispatchersCreated;

    private StormRun(Storm storm, Gateway.DispatcherConstructor dispatcherConstructor) {
        this.storm = storm;
        this.dispatcherConstructor = dispatcherConstructor;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(storm.seed());
        this.store = new Store(time, storm.storeConcurrency());
        this.popularity = new double[storm.functions()];
        double sum = 0;
        for (int i = 0; i < popularity.length; i++) {
            sum += 1 / Math.pow(i + 2, storm.zipf());
            popularity[i] = sum;
        }
        this.measuredFrom = time.now() + Storm.WARM_UP_S * 1000L * Timeline.MS;
    }

    /**
     * The result of a simulation.
     *
     * @param faults violations of the rules of the simulation; empty if there were none
     */
    public record Played(Storm storm, List<Span> spans, List<String> faults) {
        /** Fraction served in time of the calls first made between two times, in seconds of measured time. */
        public double inTime(double fromS, double toS) {
            return perCall(fromS, toS, s -> s.count(Span.Result.IN_TIME));
        }

        /** Upper bound of {@link #inTime}. */
        public double bound(double fromS, double toS) {
            return perCall(fromS, toS, s -> s.bound * s.calls);
        }

        /** Mean number of loads per call. */
        public double loadsPerCall(double fromS, double toS) {
            return perCall(fromS, toS, s -> s.loads);
        }

        private double perCall(double fromS, double toS, ToDoubleFunction<Span> value) {
            List<Span> selected = spans.stream()
                    .filter(s -> s.fromS >= fromS && s.fromS < toS)
                    .toList();
            return selected.stream().mapToDouble(value).sum()
                    / Math.max(1, selected.stream().mapToInt(s -> s.calls).sum());
        }

        /** Describes the results before the storm, during it, in the 4 s after it and later. */
        public String summary() {
            int end = storm.beforeS() + storm.stormS();
            return String.format(
                    java.util.Locale.ROOT,
                    "before %.1f%%, storm %.1f%% (%.2f of what can be), 0-4 s after %.1f%%, 4 s on %.1f%%; "
                            + "loads a call before %.3f, after %.3f; faults %d",
                    100 * inTime(0, storm.beforeS()),
                    100 * inTime(storm.beforeS(), end),
                    inTime(storm.beforeS(), end) / bound(storm.beforeS(), end),
                    100 * inTime(end, end + 4),
                    100 * inTime(end + 4, storm.seconds()),
                    loadsPerCall(0, storm.beforeS()),
                    loadsPerCall(end + 2, storm.seconds()),
                    faults.size());
        }
    }

    /** Simulates the storm with {@link CacheAwareDispatcher}. */
    public static Played play(Storm storm) {
        return new StormRun(storm, CacheAwareDispatcher::new).play();
    }

    private Played play() {
        for (int i = 0; i < storm.workers(); i++) {
            Worker worker = new Worker("w" + i, storm, time, store, this::onEviction, () -> currentSpan().loads++);
            workers.put(worker.id, worker);
            endpoints.add(new Endpoint(worker.id, "z", "k", 0, Availability.UP, storm.cores(), 0));
        }
        for (double at = -Storm.WARM_UP_S; at < storm.seconds() + storm.clientTimeoutMillis() / 1000.0; at += SPAN_S) {
            Span span = new Span(at, SPAN_S);
            spans.add(span);
            time.at(at(at + SPAN_S) - 1, () -> recordCopies(span));
        }
        for (int i = 0; i < storm.gateways(); i++) {
            gateways.add(gateway(i));
        }
        storm.disturbances().forEach(this::scheduleDisturbance);
        scheduleArrival(time.now());
        time.runUntil(at(storm.seconds()) + 2L * storm.clientTimeoutMillis() * Timeline.MS);
        spans.removeIf(s -> s.fromS < 0 || s.fromS >= storm.seconds());
        spans.forEach(s -> s.bound = bound(s));
        return new Played(storm, spans, faults);
    }

    private long at(double second) {
        return measuredFrom + (long) (second * 1000 * Timeline.MS);
    }

    private Gateway gateway(int index) {
        Gateway gateway = new Gateway(
                time, storm, storm.seed() * 100 + dispatchersCreated++, index, workers, dispatcherConstructor, faults);
        gateway.updateEndpoints(endpoints);
        return gateway;
    }

    private void scheduleDisturbance(Storm.Disturbance disturbance) {
        time.at(at(disturbance.atS()), () -> {
            switch (disturbance.kind()) {
                case TURNOVER -> popularityShift += storm.functions() / 2;
                case WORKER_RESTARTS -> {
                    Worker worker = workers.get("w0");
                    worker.restart(time.now() + LabSettings.SLOW_START_NANOS);
                    endpoints.set(0, new Endpoint(worker.id, "z", "k", 0, Availability.UP, storm.cores(), time.now()));
                    gateways.forEach(gateway -> gateway.updateEndpoints(endpoints));
                }
                case STORE_SLOW -> {
                    store.slowdown(10);
                    time.after((long) (disturbance.forS() * 1000 * Timeline.MS), () -> store.slowdown(1));
                }
                case GATEWAYS_RESTART -> {
                    for (int i = 0; i < gateways.size(); i++) {
                        gateways.get(i).kill();
                        gateways.set(i, gateway(i));
                    }
                }
            }
        });
    }

    // ---- Clients ----------------------------------------------------------------------------

    private double arrivalsPerSecond(double second) {
        return storm.capacityPerS() / storm.callsPerRequest() * (isStorm(second) ? storm.peakLoad() : storm.baseLoad());
    }

    private boolean isStorm(double second) {
        return second >= storm.beforeS() && second < storm.beforeS() + storm.stormS();
    }

    private void scheduleArrival(long at) {
        double second = (at - measuredFrom) / 1000.0 / Timeline.MS;
        if (second >= storm.seconds()) {
            return;
        }
        time.at(at, () -> {
            startRequest();
            scheduleArrival(
                    at + (long) (-Math.log(1 - random.nextDouble()) * 1000 * Timeline.MS / arrivalsPerSecond(second)));
        });
    }

    private String drawFunction() {
        double point = random.nextDouble() * popularity[popularity.length - 1];
        int rank = 0;
        while (popularity[rank] < point) {
            rank++;
        }
        boolean fromTenant = storm.oneTenant()
                && isStorm((time.now() - measuredFrom) / 1000.0 / Timeline.MS)
                && random.nextDouble() > storm.baseLoad() / storm.peakLoad();
        return "f"
                + (fromTenant
                        ? storm.tenantFunction(random.nextDouble())
                        : (rank + popularityShift) % storm.functions());
    }

    private void startRequest() {
        boolean isChain = storm.chains() > 0 && random.nextDouble() < storm.chains();
        List<String> functions = isChain ? List.of(drawFunction(), drawFunction()) : List.of(drawFunction());
        Span span = currentSpan();
        span.calls++;
        functions.forEach(f -> span.callsByFunction.merge(f, 1, Integer::sum));
        attempt(new ClientRequest(functions, span, time.now()), 1, false);
    }

    /** A client request: one function, or a chain of functions. */
    private record ClientRequest(List<String> functions, Span span, long startedAt) {}

    private void attempt(ClientRequest request, int attemptNumber, boolean mayHaveRunBefore) {
        int steps = request.functions.size();
        long timeout = steps * storm.clientTimeoutMillis() * Timeline.MS;
        long remaining = request.startedAt + timeout - time.now();
        request.span.attempts++;
        Gateway gateway = gateways.get(random.nextInt(gateways.size()));
        Consumer<Gateway.Answer> onAnswer = answer -> {
            long took = time.now() - request.startedAt;
            if (answer.kind() == Gateway.Answer.Kind.SERVED) {
                Span.Result result = took <= steps * storm.latencyObjectiveMillis() * Timeline.MS
                        ? Span.Result.IN_TIME
                        : attemptNumber > 1
                                ? Span.Result.LATE_RETRY
                                : answer.loaded() ? Span.Result.LATE_LOAD : Span.Result.LATE_QUEUE;
                request.span.results.merge(result, 1, Integer::sum);
                return;
            }
            boolean mayHaveRun = mayHaveRunBefore || answer.kind() == Gateway.Answer.Kind.FAILED;
            long wait = answer.retryAfterNanos() + (long) (random.nextDouble() * 20 * Timeline.MS);
            if (attemptNumber == storm.tries() || took + wait >= timeout) {
                request.span.results.merge(mayHaveRun ? Span.Result.FAILED : Span.Result.REJECTED, 1, Integer::sum);
            } else {
                time.after(wait, () -> attempt(request, attemptNumber + 1, mayHaveRun));
            }
        };
        if (steps == 1) {
            gateway.call(request.functions.get(0), remaining, onAnswer);
        } else {
            gateway.startChain(request.functions, remaining, onAnswer);
        }
    }

    // ---- Statistics -------------------------------------------------------------------------

    private Span currentSpan() {
        int spanIndex = (int)
                ((time.now() - measuredFrom + Storm.WARM_UP_S * 1000L * Timeline.MS) / (SPAN_S * 1000 * Timeline.MS));
        return spans.get(Math.min(spanIndex, spans.size() - 1));
    }

    private void onEviction(Worker evictedFrom, String function) {
        if (workers.values().stream().allMatch(worker -> worker.loadedCopies(function) == 0)) {
            currentSpan().lastCopyEvictions++;
        }
    }

    private void recordCopies(Span span) {
        span.copies = workers.values().stream().mapToInt(Worker::copyCount).sum();
        for (int i = 0; i < storm.functions(); i++) {
            String function = "f" + i;
            span.functionsWithCopy +=
                    workers.values().stream().anyMatch(worker -> worker.loadedCopies(function) > 0) ? 1 : 0;
        }
    }

    private double bound(Span span) {
        double servable = 0;
        int freeMemoryUnits = storm.workers() * storm.room();
        for (String f : span.callsByFunction.keySet().stream()
                .sorted(Comparator.comparingInt(f -> -span.callsByFunction.get(f) / storm.memoryUnits(f)))
                .toList()) {
            freeMemoryUnits -= storm.memoryUnits(f);
            servable += freeMemoryUnits < 0 ? 0 : span.callsByFunction.get(f);
        }
        double loads = storm.storeConcurrency() * 1000.0 / storm.loadMillis() * SPAN_S;
        double bounded = Math.min(
                span.calls, Math.min(servable + loads, storm.capacityPerS() * SPAN_S) / storm.callsPerRequest());
        return span.calls == 0 ? 1 : bounded / span.calls;
    }
}
