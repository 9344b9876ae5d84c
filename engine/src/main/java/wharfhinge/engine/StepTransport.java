package wharfhinge.engine;

import wharfhinge.policy.Request;

/** The engine's services that a {@link ChainExecutor} uses. Confined to the engine's thread. */
interface StepTransport {
    long now();

    long toNanoTime(long at);

    void startStep(ClientCall step);

    /** Cancels a step whose answer its chain no longer needs, as if a client had cancelled the call. */
    void cancel(ClientCall step);

    /** Tells the dispatcher that a request like this one is expected soon, so that it may prefetch the function. */
    void expectRequest(Request request);

    boolean isCached(String function);

    TimerQueue.Timer schedule(long delayNanos, Runnable task);

    void execute(String name, Runnable task);

    void onChainCompleted(ChainCall chain);
}
