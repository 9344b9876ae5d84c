package wharfhinge.gateway;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.LongSupplier;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.decisions.chain.FinishedSteps;
import wharfhinge.engine.StepJournal;

/**
 * Finished steps in an MVStore file. A thread of its own writes and commits in batches, and says of each step that it is kept only
 * then, so that a chain goes on from what a killed process would still know. What it can't keep up with is left out, since a
 * gateway that stands still is worse than a step that runs again.
 */
final class MvStepJournal implements StepJournal {
    private static final Logger LOG = LoggerFactory.getLogger(MvStepJournal.class);
    private static final int WAITING = 4096;

    private record Kept(String name, byte[] value, Runnable kept) {}

    private final MVStore store;
    private final MVMap<String, byte[]> steps;
    private final LongSupplier wallMillis;
    private final long windowMillis;
    private final BlockingQueue<Kept> waiting = new ArrayBlockingQueue<>(WAITING);
    private final Thread writer = new Thread(this::write, "step-journal");
    private volatile boolean closing;
    private volatile boolean over; // nothing is written any more

    MvStepJournal(Path file, long windowNanos, LongSupplier wallMillis) {
        this.wallMillis = wallMillis;
        this.windowMillis = windowNanos / 1_000_000;
        this.store = open(file);
        this.steps = store.openMap("steps");
        writer.setDaemon(true);
        writer.start();
    }

    /** A damaged file is set aside: steps that were kept in it run again, and the gateway serves. */
    private static MVStore open(Path file) {
        try {
            if (file.getParent() != null) {
                Files.createDirectories(file.getParent());
            }
            return new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .open();
        } catch (MVStoreException e) {
            Path aside = file.resolveSibling(file.getFileName() + ".damaged");
            LOG.warn("the step journal {} is damaged and set aside as {}: {}", file, aside, e.getMessage());
            try {
                Files.move(file, aside, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException moved) {
                throw new IllegalStateException("step journal " + file + ": " + moved, moved);
            }
            return new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .open();
        } catch (IOException e) {
            throw new IllegalStateException("step journal " + file + ": " + e, e);
        }
    }

    @Override
    public boolean recordStep(
            String tenant, String key, String digest, int count, int step, FinishedSteps.Answer answer, Runnable kept) {
        if (over) {
            return false;
        }
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(answer.body().length + 128);
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(wallMillis.getAsLong());
            out.writeUTF(tenant);
            out.writeUTF(key);
            out.writeUTF(digest);
            out.writeInt(count);
            out.writeInt(step);
            out.writeUTF(answer.contentType() == null ? "" : answer.contentType());
            out.writeInt(answer.body().length);
            out.write(answer.body());
            Kept next = new Kept(tenant + '\n' + key + '\n' + step, bytes.toByteArray(), kept);
            if (!waiting.offer(next)) {
                return false;
            }
            return !over || !waiting.remove(next); // the writer may have ended meanwhile
        } catch (IOException e) {
            throw new IllegalStateException(e); // a byte array does not fail
        }
    }

    private void write() {
        List<Kept> batch = new ArrayList<>();
        try {
            while (!closing || !waiting.isEmpty()) {
                Kept first = waiting.poll(50, java.util.concurrent.TimeUnit.MILLISECONDS);
                if (first == null) {
                    forget();
                    continue;
                }
                batch.add(first);
                waiting.drainTo(batch);
                batch.forEach(next -> steps.put(next.name(), next.value()));
                store.commit();
                batch.forEach(next -> next.kept().run());
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (MVStoreException e) {
            LOG.error("the step journal fails; finished steps are kept in memory only from now on", e);
        } finally {
            over = true;
            waiting.drainTo(batch);
            batch.forEach(next -> next.kept().run());
        }
    }

    private void forget() {
        long before = wallMillis.getAsLong() - windowMillis;
        steps.entrySet().removeIf(e -> java.nio.ByteBuffer.wrap(e.getValue()).getLong() < before);
    }

    @Override
    public void restore(RestoredStepListener to) {
        for (byte[] value : List.copyOf(steps.values())) {
            try {
                DataInputStream in = new DataInputStream(new ByteArrayInputStream(value));
                long age = Math.max(0, wallMillis.getAsLong() - in.readLong());
                String tenant = in.readUTF();
                String key = in.readUTF();
                String digest = in.readUTF();
                int count = in.readInt();
                int step = in.readInt();
                String type = in.readUTF();
                byte[] body = new byte[in.readInt()];
                in.readFully(body);
                to.onStepRestored(
                        age * 1_000_000,
                        tenant,
                        key,
                        digest,
                        count,
                        step,
                        new FinishedSteps.Answer(body, type.isEmpty() ? null : type));
            } catch (IOException e) {
                LOG.warn("a step in the journal can't be read and is left out", e);
            }
        }
    }

    @Override
    public void close() {
        closing = true;
        try {
            writer.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
