package wharfhinge.worker.copy;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import wharfhinge.worker.api.CopyContext;
import wharfhinge.worker.api.Function;
import wharfhinge.worker.api.Invocation;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageReader;

/**
 * A loaded copy of a function with its own classes, memory and threads. All threads started by its code belong to one thread
 * group, so that {@link #release} can determine whether the memory may be released. Memory that a thread could still access is
 * never released, since the access would crash the process.
 */
public final class LoadedCopy {
    private static final int THREAD_KEEP_ALIVE_S = 10;
    private static final int MIN_TERMINATION_WAIT_MS = 100;

    /** How the execution of a call ended. {@code output} is null unless the result is SERVED. */
    public record Outcome(Result result, byte[] output, Throwable cause) {}

    /** Result of an execution. */
    public enum Result {
        SERVED,
        ERROR,
        COPY_BROKEN
    }

    /** The execution of a call on a copy. */
    public final class Execution {
        private final CallSlot slot = new CallSlot();

        /** Asks the function to end the call. */
        public void cancel() {
            slot.cancel();
        }

        /** Gives the call up. Returns true if it had not ended; {@code onThreadReturned} runs once its thread has returned. */
        public boolean giveUp() {
            return slot.giveUp();
        }
    }

    private final Manifest manifest;
    private final Regions.Region region;
    private final ThreadGroup group;
    private final ThreadPoolExecutor threads;
    private final PackageLoader loader;
    private volatile Function function;

    /** Creates a copy that is not started yet and owns {@code memory}. */
    public LoadedCopy(String name, PackageReader.Contents contents, Regions.Region memory) {
        this.manifest = contents.manifest();
        this.region = memory;
        this.group = new ThreadGroup(name);
        this.loader = new PackageLoader(contents.files());
        this.threads = new ThreadPoolExecutor(
                manifest.slots(),
                manifest.slots(),
                THREAD_KEEP_ALIVE_S,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(),
                task -> {
                    Thread thread = new Thread(group, task, name);
                    thread.setDaemon(true);
                    thread.setContextClassLoader(loader);
                    return thread;
                });
        threads.allowCoreThreadTimeOut(true);
    }

    /** The manifest of the copy's package. */
    public Manifest manifest() {
        return manifest;
    }

    /**
     * Makes the memory resident and starts the function. Blocks no longer than the limit in the manifest. The copy may be used
     * only if this method returns normally; otherwise it must be released.
     *
     * @throws Exception if the function cannot be started in time
     */
    public void start(String name) throws Exception {
        Future<Void> started = threads.submit((Callable<Void>) () -> {
            region.touch();
            Class<?> type = Class.forName(manifest.entry(), true, loader);
            if (!Function.class.isAssignableFrom(type)) {
                throw new ClassCastException(manifest.entry() + " does not implement " + Function.class.getName());
            }
            Function instance = (Function) type.getConstructor().newInstance();
            instance.start(new CopyContext(name, manifest.version(), region.view()));
            function = instance;
            return null;
        });
        try {
            started.get(manifest.startMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            started.cancel(true);
            throw new TimeoutException("start exceeded " + manifest.startMillis() + " ms");
        } catch (ExecutionException e) {
            throw new IllegalStateException("start failed: " + e.getCause(), e.getCause());
        }
    }

    /**
     * Runs a call on a thread of the copy.
     *
     * @param onEnd            called once with the outcome, on that thread, unless the call was given up
     * @param onThreadReturned called instead, on that thread, if the call was given up
     */
    public Execution run(
            String id,
            int attempt,
            byte[] input,
            long limitNanos,
            BiConsumer<Execution, Outcome> onEnd,
            Consumer<Execution> onThreadReturned) {
        Execution execution = new Execution();
        long deadlineNanos = System.nanoTime() + limitNanos;
        try {
            threads.execute(() -> {
                Outcome outcome = execution.slot.begin()
                        ? runGuarded(new Invocation(id, attempt, input, deadlineNanos, execution.slot::isCancelled))
                        : null;
                if (execution.slot.finish()) {
                    onEnd.accept(execution, outcome);
                } else {
                    onThreadReturned.accept(execution);
                }
            });
        } catch (RejectedExecutionException e) {
            onEnd.accept(execution, new Outcome(Result.COPY_BROKEN, null, e));
        }
        return execution;
    }

    private Outcome runGuarded(Invocation call) {
        try {
            byte[] output = function.call(call);
            return output == null
                    ? new Outcome(Result.ERROR, null, new NullPointerException("the function returned null"))
                    : new Outcome(Result.SERVED, output, null);
        } catch (Exception e) {
            return new Outcome(Result.ERROR, null, e);
        } catch (Throwable e) { // out of memory, linkage error or exit: the copy is unusable, the worker is not
            return new Outcome(Result.COPY_BROKEN, null, e);
        }
    }

    /**
     * Stops the function and releases the memory. Blocks no longer than twice the limit. Returns false and keeps the memory if
     * a thread of the copy is still alive; then it must be called again later.
     */
    public boolean release(long limitMillis) throws InterruptedException {
        Function stopping = function;
        function = null;
        if (stopping != null) {
            try {
                Future<?> stop = threads.submit(stopping::stop);
                stop.get(limitMillis, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
                stopping = null; // whether stop failed or not, only live threads prevent the release
            }
        }
        threads.shutdownNow();
        group.interrupt();
        long deadlineNanos = System.nanoTime() + Math.max(MIN_TERMINATION_WAIT_MS, limitMillis) * 1_000_000L;
        while (hasLiveThreads() && System.nanoTime() < deadlineNanos) {
            Thread.sleep(1);
        }
        if (hasLiveThreads()) {
            return false;
        }
        region.close();
        return true;
    }

    private boolean hasLiveThreads() {
        Thread[] found = new Thread[Math.max(8, group.activeCount() + 8)];
        int count = group.enumerate(found, true);
        for (int i = 0; i < count; i++) {
            if (found[i].isAlive()) {
                return true;
            }
        }
        return !threads.isTerminated();
    }
}
