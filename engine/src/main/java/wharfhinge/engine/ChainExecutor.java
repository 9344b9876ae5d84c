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
 * answer of a step is queued as a separate event, so that neither the scheduler nor the dispatcher is re-entered.
 * Confined to the engine's thread.
 */
final class ChainExecutor implements ChainScheduler.Actions {
    /** A running chain and the calls of all clients that wait for its answer: the first one and its retries. */
    private static final class ChainRun {
        private final long id;
        private final ChainCall chainCall;
        private final List<ChainCall> waitingCalls = new ArrayList<>(1);
        private final ClientCall[] stepsInFlight;
        private final StepAnswer[] answers;
        /** Timers that are not needed once the chain has ended; each holds the chain's answers. */
        private final List<TimerQueue.Timer> timers = new ArrayList<>(1);

        private long retainedBytes;

        ChainRun(long id, ChainCall call) {
            this.id = id;
            this.chainCall = call;
            this.stepsInFlight = new ClientCall[call.plan().size()];
            this.answers = new StepAnswer[call.plan().size()];
            waitingCalls.add(call);
        }
    }

    private final StepTransport transport;
    private final EngineSettings.Chains settings;
    private final Set<String> tenants;
    private final StepJournal journal;
    private final ChainScheduler scheduler;
    private final StepAnswerCache finishedSteps;
    private final Map<Long, ChainRun> runs = new HashMap<>();
    private final Map<String, ChainRun> runsByKey = new HashMap<>();
    private long nextRunId;
    private long retainedBytes;
    private long resumedChains;
    private long joinedChains;
    private volatile long retainedKeys; // size of finishedSteps, copied for metrics() on other threads

    ChainExecutor(StepTransport transport, EngineSettings.Chains settings, Set<String> tenants, StepJournal journal) {
        this.transport = transport;
        this.settings = settings;
        this.tenants = tenants;
        this.journal = journal;
        this.scheduler = new ChainScheduler(settings.settings(), this, transport::isCached);
        this.finishedSteps =
                new StepAnswerCache(settings.resumeWindowNanos(), settings.resumeKeys(), settings.resumeBytes());
    }

    /** Restores the finished steps that an earlier process recorded. */
    void restore() {
        journal.restore((age, tenant, key, digest, steps, step, answer) -> {
            if (age < settings.resumeWindowNanos()) {
                finishedSteps.put(transport.now() - age, tenant, key, digest, steps, step, answer);
            }
        });
    }

    /** Maps all unknown tenants to the empty name, so that made-up names cannot fill the tables that are keyed by tenant. */
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
        long deadline = transport.now()
                + chainCall.deadlineNanos()
                - (transport.toNanoTime(transport.now()) - chainCall.receivedAt());
        ChainRun run = new ChainRun(nextRunId++, chainCall);
        runs.put(run.id, run);
        boolean[] finishedBefore = null;
        if (tenantAndKey != null) {
            runsByKey.put(tenantAndKey, run);
            finishedBefore = resume(run, chainCall);
        }
        if (settings.settings().clock() == ChainSettings.Clock.SHARED_DEADLINE) {
            run.timers.add(transport.schedule(
                    deadline - transport.now() - settings.settings().reserveNanos() / 2,
                    () -> scheduler.onDeadline(transport.now(), run.id)));
        }
        scheduler.onChain(transport.now(), run.id, chainCall.plan(), tenantOf(chainCall), deadline, finishedBefore);
    }

    /**
     * Attaches a retry to the running chain with the same key. The retry gets the answer of that chain, or a failure shortly
     * before its own deadline. The retry is rejected if its text differs from that of the running chain.
     */
    private void join(ChainRun run, ChainCall chainCall) {
        if (!run.chainCall.digest().equals(chainCall.digest())) {
            respond(
                    chainCall,
                    new ChainResult(ChainResult.Kind.REFUSED, "key-in-use-for-another-chain", List.of()),
                    run);
            return;
        }
        joinedChains++;
        run.waitingCalls.add(chainCall);
        long remainingNanos = chainCall.deadlineNanos()
                - (transport.toNanoTime(transport.now()) - chainCall.receivedAt())
                - settings.settings().reserveNanos() / 2;
        run.timers.add(transport.schedule(remainingNanos, () -> {
            if (run.waitingCalls.remove(chainCall)) {
                respond(
                        chainCall,
                        new ChainResult(ChainResult.Kind.FAILED, "an-earlier-try-still-runs", List.of()),
                        run);
            }
        }));
    }

    private boolean[] resume(ChainRun run, ChainCall chainCall) {
        return finishedSteps
                .get(
                        transport.now(),
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
                    resumedChains++;
                    return finishedBefore;
                })
                .orElse(null);
    }

    /** Handles a client that cancelled or disconnected; the chain continues while another client waits for it. */
    void onClientCancelled(ChainCall chainCall) {
        for (ChainRun run : runs.values()) {
            if (run.waitingCalls.remove(chainCall)) {
                transport.onChainCompleted(chainCall);
                if (run.waitingCalls.isEmpty()) {
                    scheduler.onClientCancelled(transport.now(), run.id);
                    remove(run);
                }
                return;
            }
        }
    }

    /** Ends every chain with its final answer when the engine stops. */
    void endAll() {
        for (ChainRun run : List.copyOf(runs.values())) {
            scheduler.onDeadline(transport.now(), run.id);
        }
    }

    // ---- Actions of the scheduler -----------------------------------------------------------

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
                transport.toNanoTime(transport.now()),
                Unpooled.wrappedBuffer(input),
                null,
                new StepResponseSink(run, step, transport.now()));
        run.stepsInFlight[step] = call;
        transport.startStep(call);
    }

    private static int stepIndex(ChainRun run, String id) {
        for (int i = 0; i < run.chainCall.plan().size(); i++) {
            if (run.chainCall.plan().steps().get(i).id().equals(id)) {
                return i;
            }
        }
        throw new IllegalStateException("chain plan has no step " + id); // cannot happen: the plan was validated
    }

    @Override
    public void cancelStep(long chain, int step) {
        ChainRun run = runs.get(chain);
        if (run.stepsInFlight[step] != null) {
            ClientCall call = run.stepsInFlight[step];
            run.stepsInFlight[step] = null;
            transport.cancel(call);
        }
    }

    @Override
    public void prefetch(long chain, int step) {
        CallHead head = runs.get(chain).chainCall.heads().get(step);
        transport.expectRequest(new Request(
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
    public void completeChain(long chain, ChainResult result) {
        ChainRun run = runs.get(chain);
        remove(run);
        run.waitingCalls.forEach(chainCall -> respond(chainCall, result, run));
        run.waitingCalls.clear();
    }

    private void respond(ChainCall chainCall, ChainResult result, ChainRun run) {
        chainCall.listener().onCompleted(result, Arrays.asList(run.answers));
        transport.onChainCompleted(chainCall);
    }

    private void remove(ChainRun run) {
        runs.remove(run.id);
        run.timers.forEach(TimerQueue.Timer::cancel);
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
                    transport.now(),
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
                        () -> transport.execute("step-recorded", () -> continueAfterStep(run, step, answer)))) {
                    return; // dependent steps start once this one is recorded, so that a retry after a crash finds it
                }
            }
        }
        continueAfterStep(run, step, answer);
    }

    private void continueAfterStep(ChainRun run, int step, StepAnswer answer) {
        if (!runs.containsKey(run.id)) {
            return;
        }
        scheduler.onStepCompleted(transport.now(), run.id, step, StepEnd.SERVED, answer.tookNanos(), answer.loaded());
        if (retainedBytes > settings.settings().maxHeldBytes()) {
            scheduler.onResponseBytesExhausted(transport.now(), run.id);
        }
    }

    private void onStepEnded(ChainRun run, int step, FinalAnswer answer, long tookNanos) {
        if (runs.containsKey(run.id)) {
            run.stepsInFlight[step] = null;
            scheduler.onStepCompleted(
                    transport.now(),
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
            transport.execute(
                    "step",
                    () -> onStepServed(
                            run,
                            step,
                            new StepAnswer(
                                    metadata.worker(),
                                    transport.now() - startedAt,
                                    metadata.loaded(),
                                    bytes,
                                    contentType == null ? null : contentType.toString())));
        }

        @Override
        public void sendError(FinalAnswer answer, long retryAfterNanos, ResponseMetadata metadata) {
            transport.execute("step", () -> onStepEnded(run, step, answer, transport.now() - startedAt));
        }

        @Override
        public void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata metadata) {
            stream.cancel(); // chains with streaming classes are rejected before they are accepted
            transport.execute("step", () -> onStepEnded(run, step, FinalAnswer.FAILED, transport.now() - startedAt));
        }
    }

    /** Metrics for the status page. Read by other threads without a lock, so they may be slightly stale. */
    Map<String, Long> metrics() {
        Map<String, Long> metrics = Arrays.stream(ChainScheduler.Counter.values())
                .collect(Collectors.toMap(
                        counter -> (counter == ChainScheduler.Counter.CHAINS
                                ? "chains"
                                : "chain_" + counter.name().toLowerCase(Locale.ROOT)),
                        scheduler::counter,
                        (a, b) -> a,
                        LinkedHashMap::new));
        metrics.put("chains_open", (long) scheduler.openChains());
        metrics.put("chain_steps_open", (long) scheduler.runningSteps());
        metrics.put("chain_bytes_held", retainedBytes);
        metrics.put("chain_keys_kept", retainedKeys);
        metrics.put("chains_resumed", resumedChains);
        metrics.put("chains_joined", joinedChains);
        return metrics;
    }
}
