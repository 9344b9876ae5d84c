package wharfhinge.app.drill;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** The same step in the lives of several, beside each other. */
final class Together {
    /** What is done to one. */
    interface Step<T> {
        void of(T one) throws IOException, InterruptedException;
    }

    private Together() {}

    /**
     * Does it to all, so many at once; returns once all are done.
     *
     * @throws IOException the first failure, once met; the others are still done
     */
    static <T> void all(List<T> those, int atOnce, Step<T> step) throws IOException, InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(Math.max(1, Math.min(atOnce, those.size())));
        try {
            List<Future<Void>> steps = new ArrayList<>();
            those.forEach(one -> steps.add(threads.submit(() -> {
                step.of(one);
                return null;
            })));
            for (Future<Void> one : steps) {
                one.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } finally {
            threads.shutdown();
        }
    }
}
