import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A bad client whose figure {@code wait} is out of range ends the dispatcher's process. */
final class Case1 {
    private static final String FUNCTION = "7f3a9c21e0b4d655";
    private static final int CONNECTIONS = 4;
    private static final int OPEN_REQUESTS = 16;
    private static final int MAX_REQUESTS = 30_000;
    private static final long MAX_TROUBLE_NANOS = TimeUnit.SECONDS.toNanos(70);
    /** One hour, where the longest deadline in the settings is 2.5 s; without the trouble the same requests, with that deadline. */
    private static final String WAIT = Kit.TROUBLE ? "3600000" : "2500";

    private static final Map<String, AtomicInteger> FAST_ANSWERS = new ConcurrentHashMap<>();
    private static final AtomicInteger FAST_SENT = new AtomicInteger();
    private static volatile boolean isStopped;

    public static void main(String[] args) {
        Path record = Path.of(args[0]); // record.txt
        Kit.run(record, () -> play(record.resolveSibling("dispatcher.log")));
    }

    private static void play(Path log) throws Exception {
        Kit.Feed feed = new Kit.Feed();
        Kit.runners(feed, 12, 5, 64);
        String limits = "{\"cores\":0.5,\"memory_mb\":192,\"sockets\":1024}";
        String settings = Kit.settings(Kit.ADDIS_CLASSES, Kit.ADDIS_LIMITS, Kit.ADDIS_OBLIGATIONS);
        try (Kit.Dispatcher dispatcher =
                new Kit.Dispatcher(Kit.config(feed, limits, settings), log)) {
            Kit.SteadyClient client = new Kit.SteadyClient(dispatcher.port, 6, 50, FUNCTION);
            Thread.sleep(2000);
            long end = System.nanoTime() + MAX_TROUBLE_NANOS;
            for (int i = 0; i < CONNECTIONS; i++) {
                Kit.daemon("fast-client", () -> sendFast(dispatcher.port));
            }
            while (System.nanoTime() < end && dispatcher.process.isAlive() && FAST_SENT.get() < MAX_REQUESTS) {
                Thread.sleep(1000);
                Kit.note("fast client: %d requests sent with wait=" + WAIT + ", answers %s", FAST_SENT.get(), FAST_ANSWERS);
            }
            isStopped = true;
            boolean isCrashed = !dispatcher.process.isAlive();
            String crash = isCrashed
                    ? "the dispatcher ended with exit code " + dispatcher.process.exitValue() + " after "
                    : "the dispatcher runs after ";
            client.stop();
            Kit.end(
                    isCrashed || client.lost.get() > 0,
                    "%s%d requests with wait=" + WAIT + ", answers %s; usual client: %s",
                    crash,
                    FAST_SENT.get(),
                    FAST_ANSWERS,
                    client);
        }
    }

    /** Sends requests that are valid but for the figure, as fast as they are answered, and reads all answers. */
    private static void sendFast(int port) throws Exception {
        while (!isStopped) {
            try (Kit.Connection connection = new Kit.Connection(port)) {
                Semaphore free = new Semaphore(OPEN_REQUESTS);
                while (connection.end == null && !isStopped && FAST_SENT.get() < MAX_REQUESTS) {
                    if (!free.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                        continue;
                    }
                    String id = Kit.id();
                    String fields = "id=" + id + ",wait=" + WAIT + ",key=" + FUNCTION + ",cost=5";
                    FAST_SENT.incrementAndGet();
                    Kit.note("fast sent %s", id);
                    connection.write(connection.request("DO", "preview", fields, new byte[0], answer -> {
                        String word = answer.word() == null ? "none" : answer.word();
                        Kit.note("fast answ %s: %s", id, word);
                        FAST_ANSWERS.computeIfAbsent(word, key -> new AtomicInteger()).incrementAndGet();
                        free.release();
                    }));
                }
            } catch (IOException e) {
                Thread.sleep(20); // the dispatcher closed the connection, or is gone
            }
        }
    }
}
