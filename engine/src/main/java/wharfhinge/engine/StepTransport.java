package wharfhinge.engine;

import wharfhinge.policy.Request;

/** What a {@link ChainExecutor} needs of its engine. Confined to the engine's thread. */
interface StepTransport {
    long now();

    long toNanoTime(long at);

    void startStep(ClientCall step);

    void cancel(ClientCall step);

    void expectRequest(Request request);

    boolean isCached(String function);

    void schedule(long delayNanos, Runnable what);

    void execute(String name, Runnable what);

    void onChainCompleted(ChainCall chain);
}
