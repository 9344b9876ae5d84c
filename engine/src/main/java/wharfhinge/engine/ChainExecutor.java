package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import wharfhinge.decisions.chain.ChainDecisions;
import wharfhinge.decisions.chain.ChainDecisions.StepEnd;
import wharfhinge.decisions.chain.ChainEnd;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.decisions.chain.FinishedSteps;
import wharfhinge.engine.ChainCall.StepAnswer;
import wharfhinge.policy.Request;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.FinalAnswer;

/**
 * Carries chains: tells the decisions on them what happens and does what they say, each step as a call of the loop.
 * The loop's thread alone. What a step's call answers is told as an event of its own, so that neither the decisions on
 * chains nor those on calls are re-entered.
 */
final class ChainExecutor implements ChainDecisions.Actions {
    /** What a runner needs of its loop. */
    interface Calls {
        long now();

        long nanos(long at);

        void begin(ClientCall step);

        void cancel(ClientCall step);

        void expect(Request request);

        boolean believedWarm(String function);

        void later(long delayNanos, Runnable what);

        void tell(String name, Runnable what);

        void chainOver(ChainCall chain);
    }

    private static final class Run {
        private final long id;
        private final ChainCall call;
        private final List<ChainCall> listeners = new ArrayList<>(1);
        private final ClientCall[] out;
        private final StepAnswer[] answers;
        private long bytes;

        Run(long id, ChainCall call) {
            this.id = id;
            this.call = call;
            this.out = new ClientCall[call.plan().size()];
            this.answers = new StepAnswer[call.plan().size()];
            listeners.add(call);
        }
    }

    private final Calls calls;
    private final EngineSettings.Chains settings;
    private final Set<String> tenants;
    private final StepJournal journal;
    private final ChainDecisions decisions;
    private final FinishedSteps finished;
    private final Map<Long, Run> runs = new HashMap<>();
    private final Map<String, Run> byKey = new HashMap<>();
    private long number;
    private long bytesHeld;
    private long resumed;
    private long joined;
    private volatile long keysKept; // the table itself is not for other threads

    ChainExecutor(Calls calls, EngineSettings.Chains settings, Set<String> tenants, StepJournal journal) {
        this.calls = calls;
        this.settings = settings;
        this.tenants = tenants;
        this.journal = journal;
        this.decisions = new ChainDecisions(settings.settings(), this, calls::believedWarm);
        this.finished = new FinishedSteps(settings.resumeWindowNanos(), settings.resumeKeys(), settings.resumeBytes());
    }

    /** Takes what a former process kept. */
    void restore() {
        journal.restore((age, tenant, key, digest, steps, step, answer) -> {
            if (age < settings.resumeWindowNanos()) {
                finished.finished(calls.now() - age, tenant, key, digest, steps, step, answer);
            }
        });
    }

    /** Names that are not among the settings' tenants share one, so that made-up names can't take room. */
    private String tenant(ChainCall c) {
        return c.tenant() != null && tenants.contains(c.tenant()) ? c.tenant() : "";
    }

    void begin(ChainCall c) {
        String named = c.key() == null ? null : tenant(c) + '\n' + c.key();
        Run same = named == null ? null : byKey.get(named);
        if (same != null) {
            join(same, c);
            return;
        }
        long deadline = calls.now() + c.deadlineNanos() - (calls.nanos(calls.now()) - c.receivedAt());
        Run run = new Run(number++, c);
        runs.put(run.id, run);
        boolean[] done = null;
        if (named != null) {
            byKey.put(named, run);
            done = resume(run, c);
        }
        if (settings.settings().clock() == ChainSettings.Clock.ONE) {
            calls.later(
                    deadline - calls.now() - settings.settings().reserveNanos() / 2,
                    () -> decisions.due(calls.now(), run.id));
        }
        decisions.begin(calls.now(), run.id, c.plan(), tenant(c), deadline, done);
    }

    /** A second try while the first runs listens to it; its own deadline holds. */
    private void join(Run run, ChainCall c) {
        if (!run.call.digest().equals(c.digest())) {
            respond(c, new ChainEnd(ChainEnd.Kind.REFUSED, "key-in-use-for-another-chain", List.of()), run);
            return;
        }
        joined++;
        run.listeners.add(c);
        long left = c.deadlineNanos()
                - (calls.nanos(calls.now()) - c.receivedAt())
                - settings.settings().reserveNanos() / 2;
        calls.later(left, () -> {
            if (run.listeners.remove(c)) {
                respond(c, new ChainEnd(ChainEnd.Kind.FAILED, "an-earlier-try-still-runs", List.of()), run);
            }
        });
    }

    private boolean[] resume(Run run, ChainCall c) {
        return finished.resume(
                        calls.now(), tenant(c), c.key(), c.digest(), c.plan().size())
                .map(kept -> {
                    boolean[] done = new boolean[kept.length];
                    for (int i = 0; i < kept.length; i++) {
                        if (kept[i] != null) {
                            done[i] = true;
                            run.answers[i] = new StepAnswer(null, 0, false, kept[i].body(), kept[i].contentType());
                            hold(run, kept[i].body().length);
                        }
                    }
                    resumed++;
                    return done;
                })
                .orElse(null);
    }

    /** A client that listens went away; the chain goes on while another one listens. */
    void clientLeft(ChainCall c) {
        for (Run run : runs.values()) {
            if (run.listeners.remove(c)) {
                calls.chainOver(c);
                if (run.listeners.isEmpty()) {
                    decisions.clientLeft(calls.now(), run.id);
                    over(run);
                }
                return;
            }
        }
    }

    /** The loop stops: every chain gets its answer. */
    void endAll() {
        for (Run run : List.copyOf(runs.values())) {
            decisions.due(calls.now(), run.id);
        }
    }

    // ---- What the decisions say -------------------------------------------------------------

    @Override
    public void start(long chain, int step, long mayTakeNanos) {
        Run run = runs.get(chain);
        CallHead head = run.call.heads().get(step);
        List<String> names = run.call.inputs().get(step);
        List<byte[]> parts = new ArrayList<>(names.size());
        for (String name : names) {
            parts.add(name.equals(ChainCall.CLIENT) ? run.call.input() : run.answers[index(run, name)].body());
        }
        byte[] input = parts.size() == 1 ? parts.get(0) : run.call.joiner().join(names, parts);
        ClientCall call = new ClientCall(
                head,
                head.requestClass(),
                mayTakeNanos,
                calls.nanos(calls.now()),
                Unpooled.wrappedBuffer(input),
                null,
                new StepResponder(run, step, calls.now()));
        run.out[step] = call;
        calls.begin(call);
    }

    private static int index(Run run, String id) {
        for (int i = 0; i < run.call.plan().size(); i++) {
            if (run.call.plan().steps().get(i).id().equals(id)) {
                return i;
            }
        }
        throw new IllegalStateException("no step " + id); // the plan was checked
    }

    @Override
    public void cancel(long chain, int step) {
        Run run = runs.get(chain);
        if (run.out[step] != null) {
            ClientCall call = run.out[step];
            run.out[step] = null;
            calls.cancel(call);
        }
    }

    @Override
    public void expect(long chain, int step) {
        CallHead h = runs.get(chain).call.heads().get(step);
        calls.expect(new Request(
                h.id(),
                h.tenant(),
                runs.get(chain).call.deadlineNanos(),
                h.memoryMb(),
                h.function(),
                h.costUs() * 1000,
                h.lanes(),
                h.loadMillis(),
                h.requestClass(),
                h.repeat(),
                h.write()));
    }

    @Override
    public void end(long chain, ChainEnd end) {
        Run run = runs.get(chain);
        over(run);
        run.listeners.forEach(c -> respond(c, end, run));
        run.listeners.clear();
    }

    private void respond(ChainCall c, ChainEnd end, Run run) {
        c.listener().onCompleted(end, Arrays.asList(run.answers));
        calls.chainOver(c);
    }

    private void over(Run run) {
        runs.remove(run.id);
        bytesHeld -= run.bytes;
        if (run.call.key() != null) {
            byKey.remove(tenant(run.call) + '\n' + run.call.key(), run);
        }
    }

    private void hold(Run run, int bytes) {
        run.bytes += bytes;
        bytesHeld += bytes;
    }

    // ---- What steps answer ------------------------------------------------------------------

    private void stepServed(Run run, int step, StepAnswer answer) {
        if (!runs.containsKey(run.id)) {
            return;
        }
        run.out[step] = null;
        run.answers[step] = answer;
        hold(run, answer.body().length);
        ChainCall c = run.call;
        if (c.key() != null) {
            FinishedSteps.Answer kept = new FinishedSteps.Answer(answer.body(), answer.contentType());
            if (finished.finished(
                    calls.now(), tenant(c), c.key(), c.digest(), c.plan().size(), step, kept)) {
                keysKept = finished.size();
                if (journal.recordStep(
                        tenant(c),
                        c.key(),
                        c.digest(),
                        c.plan().size(),
                        step,
                        kept,
                        () -> calls.tell("kept", () -> goOn(run, step, answer)))) {
                    return; // what waits for it begins once a retry after a crash would find it
                }
            }
        }
        goOn(run, step, answer);
    }

    private void goOn(Run run, int step, StepAnswer answer) {
        if (!runs.containsKey(run.id)) {
            return;
        }
        decisions.stepEnded(calls.now(), run.id, step, StepEnd.SERVED, answer.tookNanos(), answer.loaded());
        if (bytesHeld > settings.settings().mostBytes()) {
            decisions.outOfBytes(calls.now(), run.id);
        }
    }

    private void stepEnded(Run run, int step, FinalAnswer answer, long tookNanos) {
        if (runs.containsKey(run.id)) {
            run.out[step] = null;
            decisions.stepEnded(
                    calls.now(),
                    run.id,
                    step,
                    answer == FinalAnswer.REFUSED ? StepEnd.REFUSED : StepEnd.FAILED,
                    tookNanos,
                    false);
        }
    }

    private final class StepResponder implements ResponseSink {
        private final Run run;
        private final int step;
        private final long startedAt;

        StepResponder(Run run, int step, long startedAt) {
            this.run = run;
            this.step = step;
            this.startedAt = startedAt;
        }

        @Override
        public void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata facts) {
            byte[] bytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
            ReferenceCountUtil.release(body);
            calls.tell(
                    "step",
                    () -> stepServed(
                            run,
                            step,
                            new StepAnswer(
                                    facts.worker(),
                                    calls.now() - startedAt,
                                    facts.loaded(),
                                    bytes,
                                    contentType == null ? null : contentType.toString())));
        }

        @Override
        public void sendError(FinalAnswer answer, long coolDownNanos, ResponseMetadata facts) {
            calls.tell("step", () -> stepEnded(run, step, answer, calls.now() - startedAt));
        }

        @Override
        public void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata facts) {
            stream.cancel(); // classes that stream are turned away before a chain is taken
            calls.tell("step", () -> stepEnded(run, step, FinalAnswer.FAILED, calls.now() - startedAt));
        }
    }

    /** Figures for the status page; read by other threads, so they may be a moment old. */
    Map<String, Long> figures() {
        Map<String, Long> figures = Arrays.stream(ChainDecisions.Count.values())
                .collect(Collectors.toMap(
                        c -> (c == ChainDecisions.Count.CHAINS
                                ? "chains"
                                : "chain_" + c.name().toLowerCase(java.util.Locale.ROOT)),
                        decisions::count,
                        (a, b) -> a,
                        java.util.LinkedHashMap::new));
        figures.put("chains_open", (long) decisions.open());
        figures.put("chain_steps_open", (long) decisions.stepsOpen());
        figures.put("chain_bytes_held", bytesHeld);
        figures.put("chain_keys_kept", keysKept);
        figures.put("chains_resumed", resumed);
        figures.put("chains_joined", joined);
        return figures;
    }
}
