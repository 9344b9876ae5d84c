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
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.decisions.chain.StepAnswerCache;
import wharfhinge.engine.StepJournal;

/**
 * Finished steps in an MVStore file.
 *
 * <p>A thread of its own writes and commits in batches and acknowledges each step only then, so that a chain continues
 * only from what a killed process would still find. Steps beyond the queue are left out, since a gateway that blocks is
 * worse than a step that runs again. So are steps while the file can't be written (ENOSPC, EIO): the file is opened again with
 * exponential backoff until the steps that could not be written are.
 *
 * <p>Ages are measured by a clock that runs on with the monotonic one. Between two processes only the wall clock is left, which may have been
 * stepped: a restored step counts as no older than half the window, so that a step forward doesn't drop what a retry may ask for; after a
 * step back steps stay on disk for so much longer.
 */
final class MvStoreStepJournal implements StepJournal {
    private static final Logger LOG = LoggerFactory.getLogger(MvStoreStepJournal.class);
    private static final int QUEUE_CAPACITY = 4096;
    private static final long POLL_MILLIS = 50;
    private static final long CLOSE_TIMEOUT_MILLIS = 2000;
    private static final long MIN_REOPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_REOPEN_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A step on its way to the writer; {@code onRecorded} runs once it is committed or known to be lost. */
    private record QueuedStep(String mapKey, byte[] value, Runnable onRecorded) {}

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
    private final List<QueuedStep> notWritten = new ArrayList<>(); // the writer's thread alone, as the next two
    private long reopenAtNanos;
    private long reopenDelayNanos = MIN_REOPEN_NANOS;

    /**
     * Opens {@code file}; steps older than {@code windowNanos} are removed.
     *
     * @param wallMillis Unix time, which should run on with the monotonic clock
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

    /** A damaged file is set aside: its steps run again, and the gateway serves. */
    private static MVStore open(Path file) {
        try {
            if (file.getParent() != null) {
                Files.createDirectories(file.getParent());
            }
            return openStore(file);
        } catch (MVStoreException e) {
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
            Runnable onRecorded) {
        if (closing || !writable) {
            return false;
        }
        JournaledStep record = new JournaledStep(wallMillis.getAsLong(), tenant, key, digest, stepCount, step, answer);
        QueuedStep queued = new QueuedStep(record.mapKey(), record.encode(), onRecorded);
        if (!queue.offer(queued)) {
            return false;
        }
        return writable || !queue.remove(queued); // it may have begun to fail meanwhile
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

    /** Commits a batch, or removes what has expired where it is empty; then acknowledges it in any case. */
    private void commitOrSkip(List<QueuedStep> batch) {
        try {
            if (writable && batch.isEmpty()) {
                removeExpired();
            } else if (writable) {
                batch.forEach(queued -> steps.put(queued.mapKey(), queued.value()));
                store.commit();
            }
        } catch (MVStoreException e) {
            notWritten.addAll(batch);
            onWriteFailed(e);
        } finally {
            acknowledge(batch);
        }
    }

    private static void acknowledge(List<QueuedStep> batch) {
        batch.forEach(queued -> queued.onRecorded().run());
        batch.clear();
    }

    /** The store refuses everything from here on, so it is closed; what it committed is on disk. */
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
            notWritten.forEach(step -> reopenedSteps.put(step.mapKey(), step.value()));
            reopened.commit();
            notWritten.clear();
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

    /** Keeps what was restored for a while, since its age may be wrong by a step of the wall clock before the start. */
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
                LOG.warn("step journal: a record can't be read, ignored", e);
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
