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
 * A copy of a function: its own classes, memory and threads. All threads that its code makes by itself are in one thread
 * group, so that {@link #release} can tell whether its memory may be given back; memory that a thread could still touch
 * never is, for that would end the process.
 */
public final class LoadedCopy {
    private static final int THREAD_KEEP_ALIVE_S = 10;
    private static final int MIN_TERMINATION_WAIT_MS = 100;

    /** How a run ended. {@code output} is null unless SERVED. */
    public record Outcome(Result result, byte[] output, Throwable cause) {}

    /** What a run of code came to. */
    public enum Result {
        SERVED,
        ERROR,
        COPY_BROKEN
    }

    /** A call on its way through the copy. */
    public final class Execution {
        private final CallSlot slot = new CallSlot();

        /** Asks the code to end. */
        public void cancel() {
            slot.cancel();
        }

        /** Gives up on it: true where it had not ended; {@code back} is told once its thread has come back. */
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

    /** A copy that is not started; {@code memory} becomes its own. */
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

    /** What the package says. */
    public Manifest manifest() {
        return manifest;
    }

    /**
     * Makes the memory resident and starts the code; blocks no longer than the package's limit. Only where it returns is the
     * copy to be used; else it is to be released.
     *
     * @throws Exception with the cause
     */
    public void start(String name) throws Exception {
        Future<Void> started = threads.submit((Callable<Void>) () -> {
            region.touch();
            Class<?> type = Class.forName(manifest.entry(), true, loader);
            if (!Function.class.isAssignableFrom(type)) {
                throw new ClassCastException(manifest.entry() + " is no " + Function.class.getName());
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
            throw new TimeoutException("start took longer than " + manifest.startMillis() + " ms");
        } catch (ExecutionException e) {
            throw new IllegalStateException("start failed: " + e.getCause(), e.getCause());
        }
    }

    /**
     * Runs a call on a thread of the copy.
     *
     * @param ended told once, on that thread, unless the call was given up on
     * @param back  told in its place where it was
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
                        ? runGuarded(new Invocation(id, attempt, input, deadlineNanos, execution.slot::cancelled))
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
                    ? new Outcome(Result.ERROR, null, new NullPointerException("the function gave no answer"))
                    : new Outcome(Result.SERVED, output, null);
        } catch (Exception e) {
            return new Outcome(Result.ERROR, null, e);
        } catch (Throwable e) { // memory, links, exits: the copy is not to be trusted, the worker is
            return new Outcome(Result.COPY_BROKEN, null, e);
        }
    }

    /**
     * Stops the code and gives the memory back; blocks no longer than twice the limit. False, and the memory kept, where a
     * thread of the copy still lives; then it is to be asked again.
     */
    public boolean release(long limitMillis) throws InterruptedException {
        Function stopping = function;
        function = null;
        if (stopping != null) {
            try {
                Future<?> stop = threads.submit(stopping::stop);
                stop.get(limitMillis, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
                stopping = null; // whatever it did, its threads decide
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
