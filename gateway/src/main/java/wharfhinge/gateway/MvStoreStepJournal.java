package wharfhinge.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.decisions.chain.StepAnswerCache;
import wharfhinge.engine.StepJournal;

/**
 * Stores finished steps in an MVStore file.
 *
 * <p>A writer thread commits steps in batches and acknowledges a step only after its commit, so that a chain continues only from answers
 * that survive a killed process. If the queue is full, steps are not recorded: running a step again is better than blocking the engine.
 * Steps are not recorded either while the file cannot be written (ENOSPC, EIO). The file is then reopened with exponential backoff until
 * the steps of the failed batches are committed.
 *
 * <p>Within a process, ages are measured by a clock that follows the monotonic one. Across a restart only the wall clock is available, and
 * it may have been stepped. The age of a restored step is therefore limited to half the resume window, so that a forward step doesn't
 * drop answers that a retry may need. A backward step keeps steps on disk longer, by its size.
 */
final class MvStoreStepJournal implements StepJournal {
    private static final Logger LOG = LoggerFactory.getLogger(MvStoreStepJournal.class);
    private static final int QUEUE_CAPACITY = 4096;
    private static final long POLL_MILLIS = 50;
    private static final long CLOSE_TIMEOUT_MILLIS = 2000;
    private static final long MIN_REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_REOPEN_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A step queued for the writer. {@code onCompleted} runs once the step is committed or its commit has failed. */
    private record QueuedStep(String mapKey, byte[] value, Runnable onCompleted) {}

    private final Path file;
    private final LongSupplier wallMillis;
    private final long windowMillis;
    private final long startedAtMillis;
    private final BlockingQueue<QueuedStep> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread writer = new Thread(this::write, "step-journal");
    private volatile MVStore store;
    private volatile MVMap<String, byte[]> steps;
    private volatile boolean closing;
    private volatile boolean writable = true;
    // confined to the writer thread, as are the next two
    private final List<QueuedStep> uncommittedSteps = new ArrayList<>();
    private long reopenAtNanos;
    private long reopenDelayNanos = MIN_REOPEN_NANOS;

    /**
     * Opens {@code file}. Steps older than {@code windowNanos} are removed.
     *
     * @param wallMillis Unix time, which should advance with the monotonic clock
     */
    MvStoreStepJournal(Path file, long windowNanos, LongSupplier wallMillis) {
        this.file = file;
        this.wallMillis = wallMillis;
        this.windowMillis = TimeUnit.NANOSECONDS.toMillis(windowNanos);
        this.startedAtMillis = wallMillis.getAsLong();
        this.store = open(file);
        this.steps = store.openMap("steps");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Opens the store. A damaged file is renamed and a new one is started, so that the gateway can serve; the lost steps run again. A file that
     * another process holds or that cannot be read is left as it is, since the steps in it are still owed.
     */
    private static MVStore open(Path file) {
        try {
            if (file.getParent() != null) {
                Files.createDirectories(file.getParent());
            }
            return openStore(file);
        } catch (MVStoreException e) {
            if (e.getErrorCode() != DataUtils.ERROR_FILE_CORRUPT) {
                throw new GatewayStartException("step journal " + file + ": " + e.getMessage(), new IOException(e));
            }
            Path damaged = file.resolveSibling(file.getFileName() + ".damaged");
            LOG.warn("step journal {}: damaged, moved to {}: {}", file, damaged, e.getMessage());
            try {
                Files.move(file, damaged, StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException moveFailure) {
                throw new GatewayStartException("step journal " + file + ": " + moveFailure, moveFailure);
            }
            return openStore(file);
        } catch (IOException e) {
            throw new GatewayStartException("step journal " + file + ": " + e, e);
        }
    }

    private static MVStore openStore(Path file) {
        return new MVStore.Builder()
                .fileName(file.toString())
                .autoCommitDisabled()
                .open();
    }

    @Override
    public boolean recordStep(
            String tenant,
            String key,
            String digest,
            int stepCount,
            int step,
            StepAnswerCache.Answer answer,
            Runnable onCompleted) {
        if (closing || !writable) {
            return false;
        }
        JournaledStep record = new JournaledStep(wallMillis.getAsLong(), tenant, key, digest, stepCount, step, answer);
        QueuedStep queued = new QueuedStep(record.mapKey(), record.encode(), onCompleted);
        if (!queue.offer(queued)) {
            return false;
        }
        return writable || !queue.remove(queued); // a write may have failed since the check above
    }

    private void write() {
        List<QueuedStep> batch = new ArrayList<>();
        try {
            while (!closing || !queue.isEmpty()) {
                QueuedStep first = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    queue.drainTo(batch);
                }
                if (!writable) {
                    reopenIfDue();
                }
                commitOrSkip(batch);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            writable = false;
            queue.drainTo(batch);
            acknowledge(batch);
        }
    }

    /** Commits a batch, or removes expired steps if the batch is empty. Acknowledges the batch even if it could not be committed. */
    private void commitOrSkip(List<QueuedStep> batch) {
        try {
            if (writable && batch.isEmpty()) {
                removeExpired();
            } else if (writable) {
                batch.forEach(queued -> steps.put(queued.mapKey(), queued.value()));
                store.commit();
            }
        } catch (MVStoreException e) {
            uncommittedSteps.addAll(batch);
            onWriteFailed(e);
        } finally {
            acknowledge(batch);
        }
    }

    private static void acknowledge(List<QueuedStep> batch) {
        batch.forEach(queued -> queued.onCompleted().run());
        batch.clear();
    }

    /** Closes the store, which accepts no operation after a failed write. Committed steps are on disk. */
    private void onWriteFailed(MVStoreException cause) {
        writable = false;
        reopenAtNanos = System.nanoTime() + reopenDelayNanos;
        LOG.error(
                "step journal {}: write failed, finished steps are held in memory only until it can be written",
                file,
                cause);
        store.closeImmediately();
    }

    private void reopenIfDue() {
        long now = System.nanoTime();
        if (now - reopenAtNanos < 0) {
            return;
        }
        reopenDelayNanos = Math.min(MAX_REOPEN_NANOS, 2 * reopenDelayNanos);
        reopenAtNanos = now + reopenDelayNanos;
        MVStore reopened = null;
        try {
            reopened = openStore(file);
            MVMap<String, byte[]> reopenedSteps = reopened.openMap("steps");
            uncommittedSteps.forEach(step -> reopenedSteps.put(step.mapKey(), step.value()));
            reopened.commit();
            uncommittedSteps.clear();
            steps = reopenedSteps;
            store = reopened;
            reopenDelayNanos = MIN_REOPEN_NANOS;
            writable = true;
            LOG.info("step journal {}: written again", file);
        } catch (MVStoreException e) {
            LOG.debug("step journal {}: still not written: {}", file, e.getMessage());
            if (reopened != null) {
                reopened.closeImmediately();
            }
        }
    }

    /**
     * Removes steps older than the window. Nothing is removed in the first half window after the start, since the ages of restored steps
     * may be wrong by a step of the wall clock.
     */
    private void removeExpired() {
        long now = wallMillis.getAsLong();
        if (now - startedAtMillis < windowMillis / 2) {
            return;
        }
        steps.entrySet().removeIf(entry -> JournaledStep.recordedAtMillis(entry.getValue()) < now - windowMillis);
    }

    @Override
    public void restore(RestoredStepListener listener) {
        for (byte[] value : List.copyOf(steps.values())) {
            try {
                JournaledStep record = JournaledStep.decode(value);
                long elapsedMillis = wallMillis.getAsLong() - record.recordedAtMillis();
                long ageMillis = Math.max(0, Math.min(windowMillis / 2, elapsedMillis));
                listener.onStepRestored(
                        TimeUnit.MILLISECONDS.toNanos(ageMillis),
                        record.tenant(),
                        record.key(),
                        record.digest(),
                        record.stepCount(),
                        record.step(),
                        record.answer());
            } catch (IOException e) {
                LOG.warn("step journal: ignored a record that cannot be decoded", e);
            }
        }
    }

    @Override
    public void close() {
        closing = true;
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
