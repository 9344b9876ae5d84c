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
 * worse than a step that runs again.
 */
final class MvStoreStepJournal implements StepJournal {
    private static final Logger LOG = LoggerFactory.getLogger(MvStoreStepJournal.class);
    private static final int QUEUE_CAPACITY = 4096;
    private static final long POLL_MILLIS = 50;
    private static final long CLOSE_TIMEOUT_MILLIS = 2000;

    /** A step on its way to the writer; {@code onRecorded} runs once it is committed or known to be lost. */
    private record QueuedStep(String mapKey, byte[] value, Runnable onRecorded) {}

    private final MVStore store;
    private final MVMap<String, byte[]> steps;
    private final LongSupplier wallMillis;
    private final long windowMillis;
    private final BlockingQueue<QueuedStep> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread writer = new Thread(this::write, "step-journal");
    private volatile boolean closing;
    private volatile boolean writerEnded;

    /** Opens {@code file}; steps older than {@code windowNanos} by the wall clock are removed. */
    MvStoreStepJournal(Path file, long windowNanos, LongSupplier wallMillis) {
        this.wallMillis = wallMillis;
        this.windowMillis = TimeUnit.NANOSECONDS.toMillis(windowNanos);
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
        if (writerEnded) {
            return false;
        }
        JournaledStep record = new JournaledStep(wallMillis.getAsLong(), tenant, key, digest, stepCount, step, answer);
        QueuedStep queued = new QueuedStep(record.mapKey(), record.encode(), onRecorded);
        if (!queue.offer(queued)) {
            return false;
        }
        return !writerEnded || !queue.remove(queued); // the writer may have ended meanwhile
    }

    private void write() {
        List<QueuedStep> batch = new ArrayList<>();
        try {
            while (!closing || !queue.isEmpty()) {
                QueuedStep first = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    removeExpired();
                    continue;
                }
                batch.add(first);
                queue.drainTo(batch);
                batch.forEach(queued -> steps.put(queued.mapKey(), queued.value()));
                store.commit();
                batch.forEach(queued -> queued.onRecorded().run());
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (MVStoreException e) {
            LOG.error("step journal: write failed, finished steps are held in memory only from now on", e);
        } finally {
            writerEnded = true;
            queue.drainTo(batch);
            batch.forEach(queued -> queued.onRecorded().run());
        }
    }

    private void removeExpired() {
        long expiredBefore = wallMillis.getAsLong() - windowMillis;
        steps.entrySet().removeIf(entry -> JournaledStep.recordedAtMillis(entry.getValue()) < expiredBefore);
    }

    @Override
    public void restore(RestoredStepListener listener) {
        for (byte[] value : List.copyOf(steps.values())) {
            try {
                JournaledStep record = JournaledStep.decode(value);
                long ageMillis = Math.max(0, wallMillis.getAsLong() - record.recordedAtMillis());
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
