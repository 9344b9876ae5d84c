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
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Many runners in one thread for the listening sockets and one for each connection. Each serves every call after 20 ms. */
final class Fleet {
    private static final Pattern TYPE = Pattern.compile("\"type\":\"([A-Z]+)\"");
    private static final Pattern REQUEST = Pattern.compile("\"req\":\"([^\"]+)\"");
    private static final Pattern DATA = Pattern.compile("\"data\":\"([^\"]*)\"");
    private static final Pattern COUNT = Pattern.compile("\"count\":(\\d+)");

    final List<String> addresses = new ArrayList<>();
    final AtomicLong runs = new AtomicLong();
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
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String type = find(TYPE, line);
                String request = find(REQUEST, line);
                if (type.equals("CALL")) {
                    Runner.sleep(20);
                    runs.incrementAndGet();
                    Record.line("runner at %s: ran %s", connection.getLocalSocketAddress(), request);
                    Runner.answer(connection, "served", request, "{\"detail\":\"hit\"}", find(DATA, line));
                } else if (type.equals("LOAD")) {
                    Runner.answer(connection, "served", request, "{\"count\":" + find(COUNT, line) + "}", null);
                } else if (type.equals("PING")) {
                    Runner.answer(connection, "green", request, "{}", null);
                }
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    private static String find(Pattern pattern, String line) {
        Matcher matcher = pattern.matcher(line);
        return matcher.find() ? matcher.group(1) : "";
    }
}
