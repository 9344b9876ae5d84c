package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.decisions.chain.ChainScheduler;
import wharfhinge.decisions.chain.ChainScheduler.StepEnd;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.decisions.chain.StepAnswerCache;
import wharfhinge.engine.ChainCall.StepAnswer;
import wharfhinge.policy.Request;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.FinalAnswer;

/**
 * Executes chains: reports events to {@link ChainScheduler} and carries out its actions, each step as a call of the engine. The
 * answer of a step is queued as an event of its own, so that neither the decisions on chains nor the dispatcher are re-entered.
 * Confined to the engine's thread.
 */
final class ChainExecutor implements ChainScheduler.Actions {
    private static final class ChainRun {
        private final long id;
        private final ChainCall chainCall;
        private final List<ChainCall> listeners = new ArrayList<>(1);
        private final ClientCall[] stepsInFlight;
        private final StepAnswer[] answers;
        private long retainedBytes;

        ChainRun(long id, ChainCall call) {
            this.id = id;
            this.chainCall = call;
            this.stepsInFlight = new ClientCall[call.plan().size()];
            this.answers = new StepAnswer[call.plan().size()];
            listeners.add(call);
        }
    }

    private final StepTransport calls;
    private final EngineSettings.Chains settings;
    private final Set<String> tenants;
    private final StepJournal journal;
    private final ChainScheduler decisions;
    private final StepAnswerCache finishedSteps;
    private final Map<Long, ChainRun> runs = new HashMap<>();
    private final Map<String, ChainRun> runsByKey = new HashMap<>();
    private long nextRunId;
    private long retainedBytes;
    private long resumed;
    private long joined;
    private volatile long retainedKeys; // the table itself is confined to the engine's thread

    ChainExecutor(StepTransport calls, EngineSettings.Chains settings, Set<String> tenants, StepJournal journal) {
        this.calls = calls;
        this.settings = settings;
        this.tenants = tenants;
        this.journal = journal;
        this.decisions = new ChainScheduler(settings.settings(), this, calls::isCached);
        this.finishedSteps =
                new StepAnswerCache(settings.resumeWindowNanos(), settings.resumeKeys(), settings.resumeBytes());
    }

    /** Restores the finished steps that an earlier process recorded. */
    void restore() {
        journal.restore((age, tenant, key, digest, steps, step, answer) -> {
            if (age < settings.resumeWindowNanos()) {
                finishedSteps.put(calls.now() - age, tenant, key, digest, steps, step, answer);
            }
        });
    }

    /** Unknown tenants share one name, so that invented names cannot fill the table of keys. */
    private String tenantOf(ChainCall chainCall) {
        return chainCall.tenant() != null && tenants.contains(chainCall.tenant()) ? chainCall.tenant() : "";
    }

    void start(ChainCall chainCall) {
        String tenantAndKey = chainCall.key() == null ? null : tenantOf(chainCall) + '\n' + chainCall.key();
        ChainRun running = tenantAndKey == null ? null : runsByKey.get(tenantAndKey);
        if (running != null) {
            join(running, chainCall);
            return;
        }
        long deadline =
                calls.now() + chainCall.deadlineNanos() - (calls.toNanoTime(calls.now()) - chainCall.receivedAt());
        ChainRun run = new ChainRun(nextRunId++, chainCall);
        runs.put(run.id, run);
        boolean[] finishedBefore = null;
        if (tenantAndKey != null) {
            runsByKey.put(tenantAndKey, run);
            finishedBefore = resume(run, chainCall);
        }
        if (settings.settings().clock() == ChainSettings.Clock.SHARED_DEADLINE) {
            calls.schedule(
                    deadline - calls.now() - settings.settings().reserveNanos() / 2,
                    () -> decisions.onDeadline(calls.now(), run.id));
        }
        decisions.onChain(calls.now(), run.id, chainCall.plan(), tenantOf(chainCall), deadline, finishedBefore);
    }

    /** A retry under the key of a running chain gets that chain's answer, within its own deadline. */
    private void join(ChainRun run, ChainCall chainCall) {
        if (!run.chainCall.digest().equals(chainCall.digest())) {
            respond(
                    chainCall,
                    new ChainResult(ChainResult.Kind.REFUSED, "key-in-use-for-another-chain", List.of()),
                    run);
            return;
        }
        joined++;
        run.listeners.add(chainCall);
        long remainingNanos = chainCall.deadlineNanos()
                - (calls.toNanoTime(calls.now()) - chainCall.receivedAt())
                - settings.settings().reserveNanos() / 2;
        calls.schedule(remainingNanos, () -> {
            if (run.listeners.remove(chainCall)) {
                respond(
                        chainCall,
                        new ChainResult(ChainResult.Kind.FAILED, "an-earlier-try-still-runs", List.of()),
                        run);
            }
        });
    }

    private boolean[] resume(ChainRun run, ChainCall chainCall) {
        return finishedSteps
                .get(
                        calls.now(),
                        tenantOf(chainCall),
                        chainCall.key(),
                        chainCall.digest(),
                        chainCall.plan().size())
                .map(retained -> {
                    boolean[] finishedBefore = new boolean[retained.length];
                    for (int i = 0; i < retained.length; i++) {
                        if (retained[i] != null) {
                            finishedBefore[i] = true;
                            run.answers[i] =
                                    new StepAnswer(null, 0, false, retained[i].body(), retained[i].contentType());
                            retainBytes(run, retained[i].body().length);
                        }
                    }
                    resumed++;
                    return finishedBefore;
                })
                .orElse(null);
    }

    /** A client cancelled or disconnected; the chain goes on while another client waits for it. */
    void onClientCancelled(ChainCall chainCall) {
        for (ChainRun run : runs.values()) {
            if (run.listeners.remove(chainCall)) {
                calls.onChainCompleted(chainCall);
                if (run.listeners.isEmpty()) {
                    decisions.onClientCancelled(calls.now(), run.id);
                    remove(run);
                }
                return;
            }
        }
    }

    /** The engine stops: ends every chain with its final answer. */
    void endAll() {
        for (ChainRun run : List.copyOf(runs.values())) {
            decisions.onDeadline(calls.now(), run.id);
        }
    }

    // ---- Actions of the decisions -----------------------------------------------------------

    @Override
    public void startStep(long chain, int step, long budgetNanos) {
        ChainRun run = runs.get(chain);
        CallHead head = run.chainCall.heads().get(step);
        List<String> names = run.chainCall.inputs().get(step);
        List<byte[]> parts = new ArrayList<>(names.size());
        for (String name : names) {
            parts.add(name.equals(ChainCall.CLIENT) ? run.chainCall.input() : run.answers[stepIndex(run, name)].body());
        }
        byte[] input = parts.size() == 1 ? parts.get(0) : run.chainCall.joiner().join(names, parts);
        ClientCall call = new ClientCall(
                head,
                head.requestClass(),
                budgetNanos,
                calls.toNanoTime(calls.now()),
                Unpooled.wrappedBuffer(input),
                null,
                new StepResponseSink(run, step, calls.now()));
        run.stepsInFlight[step] = call;
        calls.startStep(call);
    }

    private static int stepIndex(ChainRun run, String id) {
        for (int i = 0; i < run.chainCall.plan().size(); i++) {
            if (run.chainCall.plan().steps().get(i).id().equals(id)) {
                return i;
            }
        }
        throw new IllegalStateException("no step " + id); // the plan was checked
    }

    @Override
    public void cancelStep(long chain, int step) {
        ChainRun run = runs.get(chain);
        if (run.stepsInFlight[step] != null) {
            ClientCall call = run.stepsInFlight[step];
            run.stepsInFlight[step] = null;
            calls.cancel(call);
        }
    }

    @Override
    public void prefetch(long chain, int step) {
        CallHead head = runs.get(chain).chainCall.heads().get(step);
        calls.expectRequest(new Request(
                head.id(),
                head.tenant(),
                runs.get(chain).chainCall.deadlineNanos(),
                head.memoryMb(),
                head.function(),
                head.costUs() * 1000,
                head.lanes(),
                head.loadMillis(),
                head.requestClass(),
                head.repeat(),
                head.write()));
    }

    @Override
    public void completeChain(long chain, ChainResult end) {
        ChainRun run = runs.get(chain);
        remove(run);
        run.listeners.forEach(chainCall -> respond(chainCall, end, run));
        run.listeners.clear();
    }

    private void respond(ChainCall chainCall, ChainResult end, ChainRun run) {
        chainCall.listener().onCompleted(end, Arrays.asList(run.answers));
        calls.onChainCompleted(chainCall);
    }

    private void remove(ChainRun run) {
        runs.remove(run.id);
        retainedBytes -= run.retainedBytes;
        if (run.chainCall.key() != null) {
            runsByKey.remove(tenantOf(run.chainCall) + '\n' + run.chainCall.key(), run);
        }
    }

    private void retainBytes(ChainRun run, int bytes) {
        run.retainedBytes += bytes;
        retainedBytes += bytes;
    }

    // ---- Answers of steps -------------------------------------------------------------------

    private void onStepServed(ChainRun run, int step, StepAnswer answer) {
        if (!runs.containsKey(run.id)) {
            return;
        }
        run.stepsInFlight[step] = null;
        run.answers[step] = answer;
        retainBytes(run, answer.body().length);
        ChainCall chainCall = run.chainCall;
        if (chainCall.key() != null) {
            StepAnswerCache.Answer retained = new StepAnswerCache.Answer(answer.body(), answer.contentType());
            if (finishedSteps.put(
                    calls.now(),
                    tenantOf(chainCall),
                    chainCall.key(),
                    chainCall.digest(),
                    chainCall.plan().size(),
                    step,
                    retained)) {
                retainedKeys = finishedSteps.size();
                if (journal.recordStep(
                        tenantOf(chainCall),
                        chainCall.key(),
                        chainCall.digest(),
                        chainCall.plan().size(),
                        step,
                        retained,
                        () -> calls.execute("step-recorded", () -> continueAfterStep(run, step, answer)))) {
                    return; // dependent steps start once the journal has it, so that a retry after a crash finds it
                }
            }
        }
        continueAfterStep(run, step, answer);
    }

    private void continueAfterStep(ChainRun run, int step, StepAnswer answer) {
        if (!runs.containsKey(run.id)) {
            return;
        }
        decisions.onStepCompleted(calls.now(), run.id, step, StepEnd.SERVED, answer.tookNanos(), answer.loaded());
        if (retainedBytes > settings.settings().maxHeldBytes()) {
            decisions.onResponseBytesExhausted(calls.now(), run.id);
        }
    }

    private void onStepEnded(ChainRun run, int step, FinalAnswer answer, long tookNanos) {
        if (runs.containsKey(run.id)) {
            run.stepsInFlight[step] = null;
            decisions.onStepCompleted(
                    calls.now(),
                    run.id,
                    step,
                    answer == FinalAnswer.REFUSED ? StepEnd.REJECTED : StepEnd.FAILED,
                    tookNanos,
                    false);
        }
    }

    private final class StepResponseSink implements ResponseSink {
        private final ChainRun run;
        private final int step;
        private final long startedAt;

        StepResponseSink(ChainRun run, int step, long startedAt) {
            this.run = run;
            this.step = step;
            this.startedAt = startedAt;
        }

        @Override
        public void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata metadata) {
            byte[] bytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
            ReferenceCountUtil.release(body);
            calls.execute(
                    "step",
                    () -> onStepServed(
                            run,
                            step,
                            new StepAnswer(
                                    metadata.worker(),
                                    calls.now() - startedAt,
                                    metadata.loaded(),
                                    bytes,
                                    contentType == null ? null : contentType.toString())));
        }

        @Override
        public void sendError(FinalAnswer answer, long retryAfterNanos, ResponseMetadata metadata) {
            calls.execute("step", () -> onStepEnded(run, step, answer, calls.now() - startedAt));
        }

        @Override
        public void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata metadata) {
            stream.cancel(); // chains with streaming classes are rejected before they are accepted
            calls.execute("step", () -> onStepEnded(run, step, FinalAnswer.FAILED, calls.now() - startedAt));
        }
    }

    /** Metrics for the status page; read by other threads, so they may be slightly stale. */
    Map<String, Long> metrics() {
        Map<String, Long> metrics = Arrays.stream(ChainScheduler.Counter.values())
                .collect(Collectors.toMap(
                        chainCall -> (chainCall == ChainScheduler.Counter.CHAINS
                                ? "chains"
                                : "chain_" + chainCall.name().toLowerCase(Locale.ROOT)),
                        decisions::counter,
                        (a, b) -> a,
                        LinkedHashMap::new));
        metrics.put("chains_open", (long) decisions.openChains());
        metrics.put("chain_steps_open", (long) decisions.runningSteps());
        metrics.put("chain_bytes_held", retainedBytes);
        metrics.put("chain_keys_kept", retainedKeys);
        metrics.put("chains_resumed", resumed);
        metrics.put("chains_joined", joined);
        return metrics;
    }
}
