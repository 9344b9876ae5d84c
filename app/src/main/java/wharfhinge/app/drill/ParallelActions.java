package wharfhinge.app.drill;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Applies one action to several objects in parallel. */
final class ParallelActions {
    /** The action on one object. */
    interface Action<T> {
        void apply(T target) throws IOException, InterruptedException;
    }

    private ParallelActions() {}

    /**
     * Applies an action to all targets, at most {@code concurrency} at once; returns once all actions have ended.
     *
     * @throws IOException the first failure in the order of the targets; the other actions go on and are not awaited
     */
    static <T> void applyToAll(List<T> targets, int concurrency, Action<T> action)
            throws IOException, InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(Math.max(1, Math.min(concurrency, targets.size())));
        try {
            List<Future<Void>> futures = new ArrayList<>();
            targets.forEach(target -> futures.add(threads.submit(() -> {
                action.apply(target);
                return null;
            })));
            for (Future<Void> future : futures) {
                future.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            threads.shutdown();
        }
    }
}
