package wharfhinge.engine;

import wharfhinge.policy.Request;

/** The engine's services that a {@link ChainExecutor} uses. Confined to the engine's thread. */
interface StepTransport {
    long now();

    long toNanoTime(long at);

    void startStep(ClientCall step);

    void cancel(ClientCall step);

    void expectRequest(Request request);

    boolean isCached(String function);

    void schedule(long delayNanos, Runnable task);

    void execute(String name, Runnable task);

    void onChainCompleted(ChainCall chain);
}
