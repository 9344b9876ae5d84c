import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients that call unknown functions, some hundreds of requests at once, end the dispatcher's process. */
final class Case3 {
    private static final String FUNCTION = "7f3a9c21e0b4d655";
    private static final int CONNECTIONS = 10;
    private static final int OPEN_REQUESTS = 32;
    private static final long MAX_TROUBLE_NANOS = TimeUnit.SECONDS.toNanos(70);

    private static final Map<String, AtomicInteger> BAD_ANSWERS = new ConcurrentHashMap<>();
    private static final AtomicInteger BAD_SENT = new AtomicInteger();
    private static volatile boolean isStopped;

    public static void main(String[] args) {
        Path record = Path.of(args[0]); // record.txt
        Kit.run(record, () -> play(record.resolveSibling("dispatcher.log")));
    }

    private static void play(Path log) throws Exception {
        Kit.Feed feed = new Kit.Feed();
        Kit.runners(feed, 12, 100, 8).forEach(runner -> runner.known = FUNCTION::equals);
        String limits = "{\"cores\":0.5,\"memory_mb\":192,\"sockets\":1024}";
        String settings = Kit.settings(Kit.ADDIS_CLASSES, Kit.ADDIS_LIMITS, Kit.ADDIS_OBLIGATIONS);
        try (Kit.Dispatcher dispatcher =
                new Kit.Dispatcher(Kit.config(feed, limits, settings), log)) {
            Kit.SteadyClient client = new Kit.SteadyClient(dispatcher.port, 6, 50, FUNCTION);
            Thread.sleep(2000);
            long end = System.nanoTime() + (Kit.TROUBLE ? MAX_TROUBLE_NANOS : TimeUnit.SECONDS.toNanos(30));
            if (Kit.TROUBLE) {
                for (int i = 0; i < CONNECTIONS; i++) {
                    Kit.daemon("bad-client", () -> sendBadRequests(dispatcher.port));
                }
            }
            while (System.nanoTime() < end && dispatcher.process.isAlive()) {
                Thread.sleep(1000);
                Kit.note("bad clients: %d requests sent, answers %s", BAD_SENT.get(), BAD_ANSWERS);
            }
            isStopped = true;
            boolean isCrashed = !dispatcher.process.isAlive();
            String crash = isCrashed
                    ? "the dispatcher ended with exit code " + dispatcher.process.exitValue() + " after "
                    : "the dispatcher runs after ";
            client.stop();
            Kit.end(
                    isCrashed || client.lost.get() > 0,
                    "%s%d requests of the bad clients, answers %s; usual client: %s",
                    crash,
                    BAD_SENT.get(),
                    BAD_ANSWERS,
                    client);
        }
    }

    /** Sends requests for functions that no runner knows, each as soon as one is answered, and reads all answers. */
    private static void sendBadRequests(int port) throws Exception {
        while (!isStopped) {
            try (Kit.Connection connection = new Kit.Connection(port)) {
                Semaphore free = new Semaphore(OPEN_REQUESTS);
                while (connection.end == null && !isStopped) {
                    if (!free.tryAcquire(100, TimeUnit.MILLISECONDS)) {
                        continue;
                    }
                    String id = Kit.id();
                    String fields = "id=" + id + ",wait=2500,key=" + Kit.id() + ",cost=5";
                    BAD_SENT.incrementAndGet();
                    Kit.note("bad sent  %s", id);
                    connection.write(connection.request("DO", "preview", fields, new byte[0], answer -> {
                        String word = answer.word() == null ? "none" : answer.word();
                        Kit.note("bad answ. %s: %s", id, word);
                        BAD_ANSWERS.computeIfAbsent(word, key -> new AtomicInteger()).incrementAndGet();
                        free.release();
                    }));
                }
            } catch (IOException e) {
                Thread.sleep(20); // the dispatcher closed the connection, or is gone
            }
        }
    }
}
