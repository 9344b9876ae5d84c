import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Three hundred clients at once connect, send a request and close their connection, at each of two dispatchers. Each dispatcher may use
 * half of a core, and both run on the same one.
 */
final class CallAfterItsClientLeft extends Case {
    private static final int RUNNERS = 6;
    private static final int DISPATCHERS = 2;
    private static final int CLIENTS = 300;
    private static final int BURSTS = 20;
    private static final long PAUSE_MILLIS = 1500;
    private static final long DEADLINE_MILLIS = 2500;
    /** An attempt may begin for 0.1 s after its client has gone; each limit is 50 ms longer. */
    private static final double ALLOWED_MILLIS = 150;

    public static void main(String[] arguments) {
        new CallAfterItsClientLeft().run(arguments[0]);
    }

    /** When each client had closed its connection, by the id of its request. */
    private final Map<String, Double> leftAt = new ConcurrentHashMap<>();

    private int runAfterLeaving;
    private int late;
    private double latest;
    private final AtomicLong lastId = new AtomicLong(System.nanoTime());

    private final class ObservingRunner extends Runner {
        ObservingRunner(String id) throws IOException {
            super(id, "127.0.0.1");
        }

        @Override
        void onCall(String request, Map<String, String> fields) {
            Double left = leftAt.get(request);
            if (left != null) {
                count(request, Record.now() - left);
            }
        }
    }

    private synchronized void count(String request, double millis) {
        runAfterLeaving++;
        latest = Math.max(latest, millis);
        if (millis > ALLOWED_MILLIS) {
            late++;
            Record.line("attempt of %s began %.0f ms after its client had gone", request, millis);
        }
    }

    @Override
    boolean play() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            Runner runner = new ObservingRunner("s-" + i);
            entries.add(Feed.entry(runner.id, runner.address, "ready", 0));
        }
        Feed feed = new Feed();
        feed.tell(entries);
        List<Dispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            Config config = new Config();
            config.name = "n" + (i + 1);
            config.feed = feed.address();
            config.known = feed.known();
            config.sockets = 1024;
            config.groupSize = DISPATCHERS;
            config.number = i;
            Dispatcher dispatcher =
                    new Dispatcher(Files.createDirectory(temporary.resolve(config.name)), config.port, config.name);
            dispatcher.writeConfig(config.json());
            dispatchers.add(dispatcher);
        }
        for (Dispatcher dispatcher : dispatchers) {
            dispatcher.startOnOneCore();
        }
        for (Dispatcher dispatcher : dispatchers) {
            if (!dispatcher.awaitReady()) {
                dispatcher.recordLog();
                throw new CannotRun("the dispatcher is not ready after 30 s");
            }
        }
        List<UsualClients> usual = new ArrayList<>();
        CountDownLatch ended = new CountDownLatch(DISPATCHERS);
        for (Dispatcher dispatcher : dispatchers) {
            UsualClients clients = new UsualClients(dispatcher.port, 20, 40);
            usual.add(clients);
            Feed.daemon(() -> {
                for (int i = 0; i < BURSTS; i++) {
                    Feed.daemon(burst(dispatcher.port));
                    clients.callFor(PAUSE_MILLIS);
                }
                ended.countDown();
            });
        }
        ended.await();
        int lost = 0;
        for (UsualClients clients : usual) {
            lost += clients.countLost();
        }
        for (Dispatcher dispatcher : dispatchers) {
            dispatcher.recordLog();
            dispatcher.kill();
        }
        Record.result(
                "%d clients left; %d attempts arrived after that, %d of them later than %.0f ms, the latest after %.0f ms; "
                        + "usual clients: %d calls lost",
                leftAt.size(), runAfterLeaving, late, ALLOWED_MILLIS, latest, lost);
        return late == 0 && lost == 0;
    }

    private Runnable burst(int port) {
        return () -> {
            List<Socket> stayed = new ArrayList<>();
            try {
                for (int i = 0; i < CLIENTS; i++) {
                    String id = String.format("%016x", lastId.incrementAndGet());
                    String fields = "id=" + id + ",wait=" + DEADLINE_MILLIS + ",key="
                            + String.format("%016x", i % 20 + 1) + ",tags=memory_mb:64;lanes:4";
                    Socket client = new Socket("127.0.0.1", port);
                    client.setTcpNoDelay(true);
                    String command = "*5\r\n$2\r\nDO\r\n$1\r\n1\r\n$4\r\nsave\r\n$" + fields.length() + "\r\n" + fields
                            + "\r\n$1\r\nx\r\n";
                    client.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
                    if (TROUBLE) {
                        client.close();
                        leftAt.put(id, Record.now());
                    } else {
                        stayed.add(client);
                    }
                }
                Record.line("%d clients sent a request%s", CLIENTS, TROUBLE ? " and closed" : "");
                Runner.sleep(PAUSE_MILLIS - 500);
                for (Socket client : stayed) {
                    client.close();
                }
            } catch (IOException e) {
                Record.line("burst: %s", e);
            }
        };
    }
}
