import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A control feed: numbered events over server-sent events, with a comment each second. */
final class Feed {
    private final List<String> events = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    private int port;
    /** How long after the head of an answer the first missed event is sent. */
    volatile long delayMillis;

    private volatile int questions;

    Feed() throws IOException {
        open(0);
        port = server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    private void open(int atPort) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress("127.0.0.1", atPort));
        server = socket;
        daemon(() -> accept(socket));
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** An entry of an event. */
    static String entry(String id, String address, String state, long startedAtMillis) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address
                + "\",\"zone\":\"z\",\"machineType\":\"small\",\"cell\":1,\"lifecycle\":\"" + state
                + "\",\"weight\":1,\"startedAtMs\":" + startedAtMillis + "}";
    }

    /** Adds an event with these entries; it is sent at once where a dispatcher is connected. Returns its number. */
    synchronized int tell(List<String> entries) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + ",\"members\":{\"generation\":" + number + ",\"reset\":" + (number == 1)
                + ",\"instances\":[" + String.join(",", entries) + "]}}");
        notifyAll();
        return number;
    }

    /** Waits until a dispatcher has asked for events since the feed last came back. */
    void awaitQuestion(long millis) throws InterruptedException {
        double end = Record.now() + millis;
        while (questions == 0 && Record.now() < end) {
            Thread.sleep(5);
        }
    }

    /** Continues another feed: its events become this feed's own. */
    void copy(Feed other) {
        List<String> copied;
        synchronized (other) {
            copied = List.copyOf(other.events);
        }
        synchronized (this) {
            events.addAll(copied);
            notifyAll();
        }
    }

    /** The number of the last event. */
    synchronized int size() {
        return events.size();
    }

    /** All events up to now, in the form of the configuration's field "known". */
    synchronized String known() {
        return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    /** Goes down: closes all connections and refuses new ones. */
    void goDown() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
        Record.line("feed: down");
    }

    /** Comes back at the same address. */
    void comeBack() throws IOException {
        questions = 0;
        open(port);
        Record.line("feed: back, first event %d ms after the head", delayMillis);
    }

    private void accept(ServerSocket socket) {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.add(connection);
                if (socket.isClosed()) { // accepted as the feed went down
                    connection.close();
                    return;
                }
                daemon(() -> serve(connection));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            int next = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    next = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                }
            }
            OutputStream out = connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            Record.line("feed: asked for events after %d, head sent", next);
            questions++;
            Thread.sleep(delayMillis);
            while (true) {
                String text = next(next);
                out.write(text.getBytes(StandardCharsets.UTF_8));
                if (!text.startsWith(":")) {
                    next++;
                    Record.line("feed: event %d sent", next);
                }
            }
        } catch (IOException | InterruptedException e) {
            // the connection has ended
        } finally {
            connections.remove(connection);
        }
    }

    /** The event after this number, or a comment where there is none for a second. */
    private synchronized String next(int number) throws InterruptedException {
        long end = System.currentTimeMillis() + 1000;
        while (events.size() <= number && System.currentTimeMillis() < end) {
            wait(Math.max(1, end - System.currentTimeMillis()));
        }
        return events.size() <= number
                ? ": \n\n"
                : "id: " + (number + 1) + "\ndata: " + events.get(number) + "\n\n";
    }
}
