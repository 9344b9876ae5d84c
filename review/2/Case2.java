import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A burst of valid requests: the dispatcher closes its clients' connections and leaves requests without an answer. */
final class Case2 {
    private static final int RUNNERS = 16;
    private static final int LANES = 3;
    private static final int WORK_MILLIS = 150;

    private static final int CONNECTIONS = 8;
    private static final int MAX_OPEN = 32;
    /** Requests that a client sends together, in one write. */
    private static final int TOGETHER = 8;

    private static final int BODY_BYTES = 16 << 10;
    private static final int WAIT_MILLIS = 2500;
    private static final int GRACE_MILLIS = 550;
    private static final double REQUESTS_PER_SECOND = 170;
    private static final double BURST_FACTOR = 2.3;
    private static final double BURST_FROM_SECONDS = 8;
    private static final double BURST_SECONDS = 9;
    private static final double DAY_SECONDS = 21;

    private static final Map<String, AtomicInteger> WORDS = new ConcurrentHashMap<>();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger ENDED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger CLOSED = new AtomicInteger();
    /** Requests that ended with their connection, without a sign that the dispatcher had read any of their write. */
    private static final AtomicInteger CROSSED = new AtomicInteger();
    private static final Queue<Kit.Connection> CONNECTED = new ConcurrentLinkedQueue<>();
    private static final List<String> FUNCTIONS = new ArrayList<>();

    public static void main(String[] args) {
        Path record = Path.of(args[0]); // record.txt
        Kit.run(record, () -> play(record.resolveSibling("dispatcher.log")));
    }

    private static void play(Path log) throws Exception {
        Kit.Feed feed = new Kit.Feed();
        Kit.runners(feed, RUNNERS, WORK_MILLIS, LANES);
        for (int i = 0; i < 40; i++) {
            FUNCTIONS.add(Kit.id());
        }
        String limits = "{\"cores\":0.5,\"memory_mb\":192,\"sockets\":1024}";
        String settings = Kit.settings(Kit.ADDIS_CLASSES, Kit.ADDIS_LIMITS, Kit.ADDIS_OBLIGATIONS);
        try (Kit.Dispatcher dispatcher =
                new Kit.Dispatcher(Kit.config(feed, limits, settings), log)) {
            long start = System.nanoTime();
            for (int i = 0; i < CONNECTIONS; i++) {
                int number = i;
                Kit.daemon("client-" + i, () -> new Client(dispatcher.port, number).send(start));
            }
            Thread.sleep((long) (1000 * DAY_SECONDS));
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS + GRACE_MILLIS + 200);
            while (ENDED.get() < SENT.get() && System.nanoTime() < end) {
                Thread.sleep(20);
            }
            CONNECTED.stream().filter(connection -> connection.end == null).forEach(connection -> {
                LOST.addAndGet(connection.openRequests()); // no answer, though the connection is open and their time is over
            });
            boolean isCrashed = !dispatcher.process.isAlive();
            Kit.end(
                    isCrashed || LOST.get() > 0,
                    "%d requests sent, answers %s; %d connections closed by the dispatcher while requests were open; "
                            + "%d requests lost, %d crossed a close%s",
                    SENT.get(),
                    WORDS,
                    CLOSED.get(),
                    LOST.get(),
                    CROSSED.get(),
                    isCrashed ? "; the dispatcher has crashed" : "");
        }
    }

    private static boolean isBurst(long start) {
        double seconds = (System.nanoTime() - start) / 1e9;
        return Kit.TROUBLE && seconds >= BURST_FROM_SECONDS && seconds < BURST_FROM_SECONDS + BURST_SECONDS;
    }

    /** Requests that were written together. */
    private static final class Batch {
        volatile boolean isWritten;
        /** Whether the dispatcher has answered one of them, and so has read from this write. */
        volatile boolean isAnsweredInPart;
    }

    /** A client with one connection. It has at most 32 requests open, and stays away as long as a refusal tells it to. */
    private static final class Client {
        private final int port;
        private final int number;
        private final AtomicLong awayUntil = new AtomicLong(System.nanoTime());
        private Kit.Connection connection;

        Client(int port, int number) {
            this.port = port;
            this.number = number;
        }

        void send(long start) throws Exception {
            long next = start + TimeUnit.MILLISECONDS.toNanos(20L * number);
            while (System.nanoTime() - start < DAY_SECONDS * 1e9) {
                double rate = REQUESTS_PER_SECOND * (isBurst(start) ? BURST_FACTOR : 1) / CONNECTIONS;
                next += (long) (1e9 * TOGETHER / rate);
                TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
                if (System.nanoTime() - awayUntil.get() >= 0) {
                    sendTogether();
                }
            }
        }

        private void sendTogether() {
            try {
                if (connection == null || connection.end != null) {
                    connection = new Kit.Connection(port);
                    CONNECTED.add(connection);
                }
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                Batch batch = new Batch();
                for (int i = 0; i < TOGETHER && connection.openRequests() < MAX_OPEN; i++) {
                    bytes.writeBytes(request(connection, batch));
                }
                connection.write(bytes.toByteArray());
                batch.isWritten = true;
            } catch (IOException e) {
                Kit.note("client %d: %s", number, e.getMessage());
            }
        }

        private byte[] request(Kit.Connection on, Batch batch) {
            String id = Kit.id();
            String function = FUNCTIONS.get((int) (Math.random() * FUNCTIONS.size()));
            double sentAt = Kit.millis();
            SENT.incrementAndGet();
            Kit.note("sent      %s by client %d", id, number);
            String fields = "id=" + id + ",wait=" + WAIT_MILLIS + ",key=" + function + ",cost=150";
            return on.request(
                    "DO", "preview", fields, new byte[BODY_BYTES], answer -> onAnswer(on, batch, id, sentAt, answer));
        }

        private void onAnswer(Kit.Connection on, Batch batch, String id, double sentAt, Kit.Answer answer) {
            double took = Kit.millis() - sentAt;
            if (answer.word() == null && on.countEnd()) {
                CLOSED.incrementAndGet();
                Kit.note("client %d: connection ended by the dispatcher: %s", number, on.end);
            }
            if (answer.fields().startsWith("after=")) {
                long afterMillis = Long.parseLong(answer.fields().substring("after=".length()));
                awayUntil.set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(afterMillis));
            }
            batch.isAnsweredInPart |= answer.word() != null;
            boolean isTaken = batch.isWritten && batch.isAnsweredInPart;
            boolean isLost = answer.word() == null ? isTaken : took > WAIT_MILLIS + GRACE_MILLIS;
            CROSSED.addAndGet(answer.word() == null && !isTaken ? 1 : 0);
            String word = answer.word() == null ? "none" : answer.word();
            WORDS.computeIfAbsent(word, key -> new AtomicInteger()).incrementAndGet();
            LOST.addAndGet(isLost ? 1 : 0);
            ENDED.incrementAndGet();
            Kit.note("answered  %s: %s %s after %.0f ms%s", id, word, answer.fields(), took, isLost ? ", LOST" : "");
        }
    }
}
