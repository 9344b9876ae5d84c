import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Many runners, with one thread for the listening sockets and one for each connection. Each serves every call after 20 ms. */
final class Fleet {
    private static final Pattern TYPE = Pattern.compile("\"type\":\"([A-Z]+)\"");
    private static final Pattern REQUEST = Pattern.compile("\"req\":\"([^\"]+)\"");
    private static final Pattern DATA = Pattern.compile("\"data\":\"([^\"]*)\"");
    private static final Pattern FUNCTION = Pattern.compile("\"path\":\"([^\"]*)\"");
    private static final Pattern COUNT = Pattern.compile("\"count\":(\\d+)");

    private static final long WORK_MILLIS = 20;

    final List<String> addresses = new ArrayList<>();
    /** Functions that no runner can load: calls of them and orders to load them end as 'crashed'. */
    volatile Predicate<String> isUnusable = function -> false;

    private final ScheduledExecutorService work = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Selector selector = Selector.open();

    Fleet(int size) throws IOException {
        for (int i = 0; i < size; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            addresses.add("127.0.0.1:" + server.socket().getLocalPort());
        }
        Feed.daemon(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel connection = ((ServerSocketChannel) key.channel()).accept();
                    if (connection != null) {
                        connection.configureBlocking(true);
                        Feed.daemon(() -> serve(connection.socket()));
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            Record.line("runners: %s", e);
        }
    }

    private void serve(Socket connection) {
        connections.add(connection);
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String type = find(TYPE, line);
                String request = find(REQUEST, line);
                String function = find(FUNCTION, line);
                if (isUnusable.test(function) && type.equals("CALL")) {
                    Record.line("runner at %s: failed %s", connection.getLocalSocketAddress(), request);
                    Runner.answer(connection, "crashed", request, "{\"detail\":\"spawn_failed\"}", null);
                } else if (isUnusable.test(function) && type.equals("LOAD")) {
                    String word = find(COUNT, line).equals("0") ? "served" : "crashed";
                    Runner.answer(connection, word, request, "{\"count\":0}", null);
                } else if (type.equals("CALL")) {
                    String data = find(DATA, line);
                    work.schedule(() -> finish(connection, request, data), WORK_MILLIS, TimeUnit.MILLISECONDS);
                } else if (type.equals("LOAD")) {
                    Runner.answer(connection, "served", request, "{\"count\":" + find(COUNT, line) + "}", null);
                } else if (type.equals("PING")) {
                    Runner.answer(connection, "green", request, "{}", null);
                }
            }
        } catch (IOException e) {
            // the connection has ended
        } finally {
            connections.remove(connection);
        }
    }

    private static void finish(Socket connection, String request, String data) {
        Record.line("runner at %s: ran %s", connection.getLocalSocketAddress(), request);
        Runner.answer(connection, "served", request, "{\"detail\":\"hit\"}", data);
    }

    /** The process at this address ends, and another takes its place: open connections are reset. */
    void restart(int runner) throws IOException {
        int port = Integer.parseInt(addresses.get(runner).split(":")[1]);
        for (Socket connection : connections) {
            if (connection.getLocalPort() == port) {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        }
    }

    private static String find(Pattern pattern, String line) {
        Matcher matcher = pattern.matcher(line);
        return matcher.find() ? matcher.group(1) : "";
    }
}
