package wharfhinge.standin.judge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Trace verifier: checks the five rules against the events that clients, workers, endpoint service and package store recorded on their
 * sockets, and nothing else. Its time tolerance covers only the delay that a loopback socket and a busy machine may add between two
 * recorders.
 */
public final class TraceVerifier {
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final long TOLERANCE_NANOS = StallIntervals.TOLERANCE_NANOS;
    private static final int MAX_EXAMPLES = 5;
    /** Calls offered earlier are left out of the figures of chains and single calls, since gateways start during that time. */
    private static final long WARM_UP_NANOS = 10_000 * NANOS_PER_MS;

    /**
     * Parameters of the rules; times in milliseconds.
     *
     * @param graceMillis          tolerance after a deadline
     * @param stopSendingMillis    time after an endpoint update until which a gateway may still send to a worker that leaves
     * @param slowStartInitialShare             share of full capacity at the beginning of the slow start
     * @param slowStartMillis           length of the slow start
     * @param overloadFactor       multiple of its current capacity that may be sent to a worker in slow start
     * @param overloadWindowMillis            window over which that work is summed
     * @param quotaWindowMillis         window of the load quota; 0 if there is no quota
     * @param quotaBase         load orders that are allowed in a window without any calls
     * @param quotaPerCall          further load orders that are allowed for each call in the window
     * @param connectTimeoutMillis time for which a load order may wait for a connection before it is sent
     * @param concurrentAttempts         whether a call may have two attempts in flight at once
     * @param effects              effect of each class: idempotent, deduplicated or at-most-once
     * @param objectiveMillis      latency objective of each class
     * @param meanWorkMillis       mean work of a call of each class
     */
    public record Rules(
            long graceMillis,
            long stopSendingMillis,
            double slowStartInitialShare,
            long slowStartMillis,
            double overloadFactor,
            long overloadWindowMillis,
            long quotaWindowMillis,
            double quotaBase,
            double quotaPerCall,
            long connectTimeoutMillis,
            boolean concurrentAttempts,
            Map<String, String> effects,
            Map<String, Long> objectiveMillis,
            Map<String, Double> meanWorkMillis) {}

    /**
     * The result of a verification.
     *
     * @param broken  violations by number of the rule
     * @param figures statistics of the run by name
     */
    public record VerificationResult(Map<Integer, List<String>> broken, Map<String, String> figures) {
        /** The number of the five rules that were kept. */
        public int rulesKept() {
            return 5 - broken.size();
        }
    }

    private record Event(long at, String word, Map<String, String> values) {
        String get(String name) {
            return values.getOrDefault(name, "-");
        }

        long number(String name) {
            return Long.parseLong(values.get(name));
        }
    }

    private static final class Call {
        private Event offer;
        private long sent = Long.MAX_VALUE;
        private final List<Event> answers = new ArrayList<>();
        private Event cancelled;
        private Event connectionLost;
        private final List<Event> received = new ArrayList<>();
        private final List<Event> runs = new ArrayList<>();
        private final Map<String, Event> attemptEnds = new HashMap<>();
        private final List<Event> stepsReceived = new ArrayList<>();
        private final List<Event> stepsRun = new ArrayList<>();

        String callClass() {
            return offer != null
                    ? offer.get("class")
                    : received.isEmpty() ? "-" : received.get(0).get("class");
        }
    }

    private final Rules rules;
    private final List<Event> events = new ArrayList<>();
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final StallIntervals stalls = new StallIntervals();
    private int explainedByStalls;
    private final Map<Integer, List<String>> violations = new TreeMap<>();

    private TraceVerifier(Rules rules, List<String> trace) {
        this.rules = rules;
        for (String traceLine : trace) {
            String[] parts = traceLine.split("\t");
            Map<String, String> values = new HashMap<>();
            for (int i = 2; i < parts.length; i++) {
                int equals = parts[i].indexOf('=');
                values.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
            }
            events.add(new Event(Long.parseLong(parts[0]), parts[1], values));
        }
        events.sort(Comparator.comparingLong(Event::at));
    }

    /** Verifies a recorded run. */
    public static VerificationResult verify(Rules rules, List<String> trace) {
        TraceVerifier judge = new TraceVerifier(rules, trace);
        judge.read();
        judge.checkAnswers();
        judge.checkEffects();
        judge.checkDrains();
        judge.checkSlowStarts();
        judge.checkLoadQuotas();
        return new VerificationResult(judge.violations, judge.figures());
    }

    private void addViolation(int rule, String what) {
        violations.computeIfAbsent(rule, absent -> new ArrayList<>()).add(what);
    }

    private void read() {
        for (Event event : events) {
            Call call = event.values.containsKey("call")
                    ? calls.computeIfAbsent(event.get("call"), absent -> new Call())
                    : null;
            // the id of a chain's step is the chain's id, a dot and the step's id
            int dot = event.get("call").indexOf('.');
            if (dot > 0 && event.word.equals("recv")) {
                calls.computeIfAbsent(event.get("call").substring(0, dot), absent -> new Call())
                        .stepsReceived
                        .add(event);
            } else if (dot > 0 && event.word.equals("run")) {
                calls.computeIfAbsent(event.get("call").substring(0, dot), absent -> new Call())
                        .stepsRun
                        .add(event);
            }
            switch (event.word) {
                case "offer" -> call.offer = event;
                case "sent" -> call.sent = event.at;
                case "answer" -> call.answers.add(event);
                case "left" -> call.cancelled = event;
                case "broken" -> call.connectionLost = event;
                case "recv" -> call.received.add(event);
                case "run" -> call.runs.add(event);
                case "reply", "cancelled" -> call.attemptEnds.putIfAbsent(event.get("attempt"), event);
                default -> readStall(event);
            }
        }
        stalls.end();
    }

    private void readStall(Event event) {
        switch (event.word) {
            case "worker-stalled" -> stalls.onWorkerStopped(event.get("worker"), event.at);
            case "worker-resumed", "died" -> stalls.onWorkerResumed(event.get("worker"), event.at);
            case "worker-not-run" -> stalls.onWorkerNotRun(
                    event.get("worker"), event.at, event.number("ms") * NANOS_PER_MS);
            case "gw-down", "gw-stalled" -> stalls.onGatewayStopped(event.get("gw"), event.at);
            case "gw-up", "gw-resumed" -> stalls.onGatewayResumed(event.get("gw"), event.at);
            case "gw-not-run" -> stalls.onGatewayNotRun(event.get("gw"), event.at, event.number("ms") * NANOS_PER_MS);
            case "recorder-stalled" -> stalls.onRecorderNotRun(event.at, event.number("ms") * NANOS_PER_MS);
            default -> {}
        }
    }

    /** Whether an event is later than allowed by more than the given stall explains. Counts the events that the stall does explain. */
    private boolean isLate(long at, long latest, long explainedNanos) {
        if (at > latest && at <= latest + explainedNanos) {
            explainedByStalls++;
        }
        return at > latest + explainedNanos;
    }

    /** The delay of an event of a worker that is explained by the worker or the gateway, from a given time on, not being scheduled. */
    private long explainedNanos(String gateway, long from, Event observed) {
        return observed.at
                - stalls.earliestArrival(observed.get("worker"), observed.at)
                + stalls.gatewayNotRunNanos(gateway, from, observed.at);
    }

    /** Rule 1: a call that was sent to a running gateway gets exactly one final response in time, and no attempt follows the response. */
    private void checkAnswers() {
        calls.forEach((id, call) -> {
            if (call.offer == null || call.sent == Long.MAX_VALUE) {
                return;
            }
            long deadline =
                    call.sent + call.offer.number("deadline_ms") * NANOS_PER_MS + rules.graceMillis * NANOS_PER_MS;
            String gateway = call.offer.get("gw");
            boolean gatewayStopped = stalls.wasGatewayStopped(gateway, call.sent, deadline);
            if (call.answers.size() > 1) {
                addViolation(1, id + " has " + call.answers.size() + " answers");
            } else if (call.answers.size() == 1) {
                Event answer = call.answers.get(0);
                if (!answer.get("own").equals("true")) {
                    addViolation(1, id + " got another call's answer");
                }
                if (answer.get("kind").equals("none")) {
                    addViolation(1, id + " got status " + answer.get("status") + " and no word of its end");
                }
                boolean isLatenessExcused = gatewayStopped || stalls.wasRecorderStopped(deadline, answer.at);
                if (!isLatenessExcused
                        && isLate(
                                answer.at,
                                deadline + TOLERANCE_NANOS,
                                stalls.gatewayNotRunNanos(gateway, call.sent, answer.at))) {
                    addViolation(1, id + " was answered " + (answer.at - deadline) / NANOS_PER_MS + " ms late");
                }
                Stream.concat(call.received.stream(), call.stepsReceived.stream())
                        .filter(r -> !stalls.wasGatewayStopped(gateway, answer.at, r.at)
                                && isLate(r.at, answer.at + TOLERANCE_NANOS, explainedNanos(gateway, answer.at, r)))
                        .findFirst()
                        .ifPresent(r -> addViolation(
                                1, id + " went out " + (r.at - answer.at) / NANOS_PER_MS + " ms after its answer"));
            } else if (call.cancelled != null && call.cancelled.get("early").equals("true") || gatewayStopped) {
                return;
            } else if (call.cancelled != null
                    && stalls.wasRecorderStopped(deadline - TOLERANCE_NANOS, call.cancelled.at)) {
                return; // the response may have been received but not yet read at the time of cancelling
            } else if (call.cancelled != null) {
                if (isLate(
                        call.cancelled.at,
                        deadline,
                        stalls.gatewayNotRunNanos(gateway, call.sent, call.cancelled.at))) {
                    addViolation(1, id + " was never answered");
                }
            } else if (call.connectionLost != null) {
                addViolation(1, id + " lost its connection to a living gateway");
            }
        });
    }

    /**
     * Rule 2: an at-most-once call runs at most once and is not rejected as safe to retry after it ran; two attempts are in flight at once
     * only if hedged requests are allowed.
     */
    private void checkEffects() {
        calls.forEach((id, call) -> {
            String effect = rules.effects.getOrDefault(call.callClass(), "idempotent");
            boolean refused = call.answers.stream().anyMatch(a -> a.get("kind").equals("refused"));
            if (effect.equals("at-most-once") && call.runs.size() > 1) {
                addViolation(2, id + " ran " + call.runs.size() + " times");
            }
            if (effect.equals("at-most-once") && refused && !call.runs.isEmpty()) {
                addViolation(2, id + " ran and was called harmless to repeat");
            }
            boolean unsafeStepRan = call.stepsRun.stream().anyMatch(r -> rules.effects
                    .getOrDefault(calls.get(r.get("call")).callClass(), "idempotent")
                    .equals("at-most-once"));
            if (refused && unsafeStepRan) {
                addViolation(2, id + " was called harmless to repeat after a step that must run once");
            }
            if (!rules.concurrentAttempts) {
                for (int i = 1; i < call.received.size(); i++) {
                    Event previous = call.received.get(i - 1);
                    Event end = call.attemptEnds.get(previous.get("attempt"));
                    Event next = call.received.get(i);
                    boolean isEndUnknown = end == null && diedAfter(previous.get("worker"), previous.at, next.at)
                            || stalls.wasWorkerStopped(previous.get("worker"), previous.at, next.at)
                            || stalls.wasWorkerStopped(next.get("worker"), next.at, next.at)
                            || stalls.wasRecorderStopped(next.at - TOLERANCE_NANOS, next.at + TOLERANCE_NANOS);
                    if ((end == null || end.at > next.at + TOLERANCE_NANOS) && !isEndUnknown) {
                        addViolation(2, id + " was out twice at once");
                    }
                }
            }
        });
    }

    private boolean diedAfter(String worker, long from, long to) {
        return events.stream()
                .anyMatch(e -> e.word.equals("died")
                        && e.get("worker").equals(worker)
                        && e.at >= from - TOLERANCE_NANOS
                        && e.at <= to + TOLERANCE_NANOS);
    }

    /**
     * Rule 3: a gateway sends a leaving worker no new call or load order later than the allowed time after the endpoint update that
     * reported it as leaving. Only the last reported state counts.
     */
    private void checkDrains() {
        Map<String, Long> leavingSince = new HashMap<>();
        for (Event event : events) {
            String gatewayAndWorker = event.get("gw") + ' ' + event.get("worker");
            switch (event.word) {
                case "told" -> {
                    if (event.get("state").equals("UP")) {
                        leavingSince.remove(gatewayAndWorker);
                    } else {
                        leavingSince.putIfAbsent(gatewayAndWorker, event.at);
                    }
                }
                case "list" -> {
                    if (event.get("whole").equals("true")) {
                        List<String> listedWorkers =
                                List.of(event.get("workers").split(","));
                        String gateway = event.get("gw") + ' ';
                        workersKnownTo(event.get("gw")).stream()
                                .filter(w -> !listedWorkers.contains(w))
                                .forEach(w -> leavingSince.putIfAbsent(gateway + w, event.at));
                    }
                }
                case "recv" -> checkNotLate(leavingSince.get(gatewayAndWorker), event, "a call");
                case "hold" -> {
                    if (event.number("count") > 0) {
                        checkNotLate(leavingSince.get(gatewayAndWorker), event, "an order");
                    }
                }
                default -> {}
            }
        }
    }

    private final Map<String, List<String>> workersByGateway = new HashMap<>();

    private List<String> workersKnownTo(String gateway) {
        return workersByGateway.computeIfAbsent(gateway, g -> events.stream()
                .filter(e -> e.word.equals("told") && e.get("gw").equals(g))
                .map(e -> e.get("worker"))
                .distinct()
                .toList());
    }

    private void checkNotLate(Long toldAt, Event event, String what) {
        if (toldAt != null
                && !stalls.wasGatewayStopped(event.get("gw"), toldAt, event.at)
                && isLate(
                        event.at,
                        toldAt + rules.stopSendingMillis * NANOS_PER_MS + TOLERANCE_NANOS,
                        explainedNanos(event.get("gw"), toldAt, event))) {
            addViolation(
                    3,
                    what + " reached " + event.get("worker") + " " + (event.at - toldAt) / NANOS_PER_MS + " ms after "
                            + event.get("gw") + " was told that it leaves");
        }
    }

    /**
     * Rule 4: the work that reaches a worker in slow start within any window stays below the allowed multiple of its capacity there. It
     * is broken only if at least two thirds of that work came from gateways that the endpoint service had informed of this start.
     */
    private void checkSlowStarts() {
        Map<String, Event> starts = new HashMap<>();
        Map<String, Deque<Event>> windows = new HashMap<>();
        Map<String, Double> sums = new HashMap<>();
        Map<String, Long> toldAt = new HashMap<>();
        for (Event event : events) {
            if (event.word.equals("told")) {
                toldAt.putIfAbsent(event.get("gw") + ' ' + event.get("worker") + ' ' + event.get("boot"), event.at);
            }
            String worker = event.get("worker");
            if (event.word.equals("start")) {
                starts.put(worker, event.get("cold").equals("true") ? event : null);
                windows.put(worker, new ArrayDeque<>());
                sums.put(worker, 0.0);
            } else if (event.word.equals("recv") && starts.get(worker) != null) {
                Event start = starts.get(worker);
                double age = (event.at - start.at) / (double) (rules.slowStartMillis * NANOS_PER_MS);
                if (age >= 1) {
                    continue;
                }
                Deque<Event> window = windows.get(worker);
                window.add(event);
                sums.merge(worker, work(event), Double::sum);
                while (event.at - window.peek().at > rules.overloadWindowMillis * NANOS_PER_MS) {
                    sums.merge(worker, -work(window.poll()), Double::sum);
                }
                double capacity = Double.parseDouble(start.get("cores"))
                        * Double.parseDouble(start.get("speed"))
                        * (rules.slowStartInitialShare + (1 - rules.slowStartInitialShare) * age);
                double limit = 1.25 * rules.overloadFactor * capacity * rules.overloadWindowMillis;
                double informedWork = window.stream()
                        .filter(e -> {
                            Long at = toldAt.get(e.get("gw") + ' ' + worker + ' ' + start.get("boot"));
                            return at != null && !stalls.wasGatewayStopped(e.get("gw"), at, e.at);
                        })
                        .mapToDouble(this::work)
                        .sum();
                if (sums.get(worker) > limit && informedWork >= sums.get(worker) * 2 / 3) {
                    addViolation(
                            4,
                            worker + " was sent " + Math.round(sums.get(worker)) + " ms of work in "
                                    + rules.overloadWindowMillis
                                    + " ms, " + (event.at - start.at) / NANOS_PER_MS + " ms after its start, where "
                                    + (long) limit
                                    + " tip it");
                    starts.put(worker, null);
                }
            }
        }
    }

    /** The time at which a gateway received a request; one sent while the gateway was stopped is received when it resumes. */
    private long receivedAt(Event event) {
        return stalls.gatewayResumedAt(event.get("gw"), event.at);
    }

    /** Whether this is the first attempt of a chain's step other than the first step, which counts with the request of the chain. */
    private static boolean isLaterStep(Event event) {
        String call = event.get("call");
        return event.word.equals("recv")
                && event.get("attempt").equals("0")
                && call.indexOf('.') > 0
                && !call.endsWith(".s0");
    }

    /** The work of a call in milliseconds as rule 4 counts it: the mean of its class. */
    private double work(Event received) {
        return rules.meanWorkMillis.getOrDefault(received.get("class"), 0.0);
    }

    /** Rule 5: the load orders of one incarnation of a gateway within any window stay within its load quota. */
    private void checkLoadQuotas() {
        if (rules.quotaWindowMillis == 0) {
            return;
        }
        Map<String, List<Long>> receiptTimes = new HashMap<>();
        Map<String, List<Long>> orders = new HashMap<>();
        // a restarted gateway does not know its earlier load orders
        Map<String, Integer> incarnations = new HashMap<>();
        for (Event event : events) {
            String process = event.get("gw") + '/' + incarnations.getOrDefault(event.get("gw"), 0);
            if (event.word.equals("gw-down")) {
                incarnations.merge(event.get("gw"), 1, Integer::sum);
            } else if (event.word.equals("answer")) {
                Call call = calls.get(event.get("call"));
                long unreceivedSteps = !call.callClass().equals("chain")
                        ? 0
                        : event.number("attempts")
                                - 1
                                - call.stepsReceived.stream()
                                        .filter(TraceVerifier::isLaterStep)
                                        .count();
                for (long i = 0; i < unreceivedSteps; i++) { // steps that started but did not reach a worker
                    receiptTimes
                            .computeIfAbsent(process, g -> new ArrayList<>())
                            .add(event.at);
                }
            } else if (event.word.equals("sent") || isLaterStep(event)) {
                receiptTimes.computeIfAbsent(process, g -> new ArrayList<>()).add(receivedAt(event));
            } else if (event.word.equals("hold")
                    && event.number("count") > 0
                    // an order that was not read at once has an unknown time of arrival
                    && !stalls.wasWorkerStopped(event.get("worker"), event.at, event.at)
                    && !stalls.wasRecorderStopped(event.at - TOLERANCE_NANOS, event.at)) {
                orders.computeIfAbsent(process, g -> new ArrayList<>()).add(event.at);
            }
        }
        orders.forEach((gateway, times) -> {
            List<Long> gatewayReceiptTimes = receiptTimes.getOrDefault(gateway, List.of());
            for (int i = 0; i < times.size(); i++) {
                long at = times.get(i);
                long from = at - rules.quotaWindowMillis * NANOS_PER_MS;
                long count = times.subList(0, i + 1).stream()
                        .filter(t -> t > from + TOLERANCE_NANOS + rules.connectTimeoutMillis * NANOS_PER_MS)
                        .count();
                long calls = gatewayReceiptTimes.stream()
                        .filter(t -> t > from - TOLERANCE_NANOS && t <= at + TOLERANCE_NANOS)
                        .count();
                double quota = rules.quotaBase + rules.quotaPerCall * calls;
                if (count > quota) {
                    addViolation(
                            5,
                            gateway + " gave " + count + " orders in " + rules.quotaWindowMillis + " ms with " + calls
                                    + " calls, where " + quota + " are allowed");
                }
            }
        });
    }

    private Map<String, String> figures() {
        int asked = 0;
        int inTime = 0;
        int late = 0;
        int refused = 0;
        int failed = 0;
        Map<String, Call> firstAttempts = new LinkedHashMap<>();
        Map<String, String> origin = new HashMap<>();
        for (Map.Entry<String, Call> entry : calls.entrySet()) {
            Event offer = entry.getValue().offer;
            if (offer != null) {
                String root = offer.get("former").equals("-")
                        ? entry.getKey()
                        : origin.getOrDefault(offer.get("former"), offer.get("former"));
                origin.put(entry.getKey(), root);
                firstAttempts.putIfAbsent(root, entry.getValue());
            }
        }
        Map<String, Event> served = new HashMap<>();
        for (Map.Entry<String, Call> entry : calls.entrySet()) {
            for (Event answer : entry.getValue().answers) {
                switch (answer.get("kind")) {
                    case "served" -> served.putIfAbsent(origin.get(entry.getKey()), answer);
                    case "refused" -> refused++;
                    default -> failed++;
                }
            }
        }
        for (Map.Entry<String, Call> entry : firstAttempts.entrySet()) {
            asked++;
            Event answer = served.get(entry.getKey());
            boolean chain = entry.getValue().offer.get("class").equals("chain");
            long aim = chain
                    ? entry.getValue().offer.number("deadline_ms") * NANOS_PER_MS
                    : rules.objectiveMillis.getOrDefault(
                                    entry.getValue().offer.get("class"), Long.MAX_VALUE / NANOS_PER_MS)
                            * NANOS_PER_MS;
            if (answer != null && answer.at - entry.getValue().offer.at <= aim) {
                inTime++;
            } else if (answer != null) {
                late++;
            }
        }
        chainFigures(served);
        long loads = count("load");
        long fetches = events.stream()
                .filter(e -> e.word.equals("fetch") && e.get("status").equals("200"))
                .count();
        Map<String, String> figures = new LinkedHashMap<>();
        figures.put("calls", Integer.toString(asked));
        figures.put("in time", percent(inTime, asked));
        figures.put("late", percent(late, asked));
        figures.put("refusals", Integer.toString(refused));
        figures.put("failures", Integer.toString(failed));
        figures.put("attempts", Long.toString(count("recv")));
        figures.put("loads per call", String.format("%.3f", loads / Math.max(1.0, asked)));
        figures.put("loads unused", percent(unusedLoads(), (int) loads));
        figures.put("fetches", Long.toString(fetches));
        figures.put("orders", Long.toString(count("hold")));
        figures.put("probes", Long.toString(count("probe")));
        figures.put("not judged", Integer.toString(explainedByStalls));
        figures.putAll(chains);
        return figures;
    }

    private final Map<String, String> chains = new LinkedHashMap<>();

    /** Figures of chains: number offered, number served in time, and the work of steps of those not served in time. */
    private void chainFigures(Map<String, Event> served) {
        Map<String, Long> workOf = new HashMap<>();
        events.stream().filter(e -> e.word.equals("recv")).forEach(e -> workOf.put(e.get("call"), e.number("work_us")));
        int asked = 0;
        int inTime = 0;
        int singles = 0;
        int singlesInTime = 0;
        long wasted = 0;
        long worked = 0;
        for (Map.Entry<String, Call> entry : calls.entrySet()) {
            Call call = entry.getValue();
            if (call.offer == null) {
                continue;
            }
            Event answer = served.get(entry.getKey());
            boolean chain = call.offer.get("class").equals("chain");
            if (call.offer.at < events.get(0).at + WARM_UP_NANOS) {
                continue; // workers may not have loaded any functions yet
            }
            if (!chain) {
                long aim = rules.objectiveMillis.getOrDefault(call.offer.get("class"), 0L) * NANOS_PER_MS;
                singles += call.offer.get("former").equals("-") ? 1 : 0;
                singlesInTime +=
                        call.offer.get("former").equals("-") && answer != null && answer.at - call.offer.at <= aim
                                ? 1
                                : 0;
                continue;
            }
            boolean servedInTime = answer != null
                    && answer.at - call.offer.at
                            <= call.offer.number("deadline_ms") * NANOS_PER_MS + TOLERANCE_NANOS / 10;
            long work = call.stepsRun.stream()
                    .mapToLong(r -> workOf.getOrDefault(r.get("call"), 0L))
                    .sum();
            asked++;
            inTime += servedInTime ? 1 : 0;
            worked += work;
            wasted += servedInTime ? 0 : work;
        }
        if (singles > 0) {
            chains.put("chains", Integer.toString(asked));
            chains.put("chains in time", Integer.toString(inTime));
            chains.put("work wasted ms", Long.toString(wasted / 1000));
            chains.put("work done ms", Long.toString(worked / 1000));
            chains.put("singles", Integer.toString(singles));
            chains.put("singles in time", percent(singlesInTime, singles));
        }
    }

    /** Loads after which no call of the function ran on that worker before its next load there or the end of the trace. */
    private int unusedLoads() {
        Map<String, Boolean> used = new HashMap<>();
        int unused = 0;
        Map<String, String> functionOf = new HashMap<>();
        for (Event event : events) {
            String key = event.get("worker") + ' ' + event.get("fn");
            if (event.word.equals("recv")) {
                functionOf.put(event.get("call"), event.get("fn"));
            } else if (event.word.equals("load")) {
                unused += Boolean.FALSE.equals(used.put(key, false)) ? 1 : 0;
            } else if (event.word.equals("run")) {
                used.computeIfPresent(event.get("worker") + ' ' + functionOf.get(event.get("call")), (k, v) -> true);
            }
        }
        return unused + (int) used.values().stream().filter(u -> !u).count();
    }

    private long count(String word) {
        return events.stream().filter(e -> e.word.equals(word)).count();
    }

    private static String percent(int part, int of) {
        return String.format("%.1f%%", 100.0 * part / Math.max(1, of));
    }

    /** Formats the result as lines of text; the last line has the number of rules kept. */
    public static List<String> report(VerificationResult verdict) {
        List<String> report = new ArrayList<>();
        verdict.figures.forEach((name, value) -> report.add(String.format("  %-16s %s", name, value)));
        verdict.broken.forEach((rule, what) -> {
            report.add("rule " + rule + " broken " + what.size() + " times:");
            what.stream().limit(MAX_EXAMPLES).forEach(w -> report.add("  " + w));
        });
        report.add("rules kept: " + verdict.rulesKept() + " of 5");
        return report;
    }
}
