import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A runner: JSON commands and answers, one per line. It loads a function on demand, and serves each call after its time of work. While it
 * drains it turns new calls and orders away with 'overload', which proves that they did not run.
 */
class Runner {
    private static final Pattern FIELD = Pattern.compile("\"(type|req|queue|path|budget|uniq|count|data)\":\"?([^\",}]*)");

    final String id;
    final String address;
    private final ServerSocket server;
    private final Set<String> loaded = ConcurrentHashMap.newKeySet();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    volatile boolean isDraining;
    volatile long workMillis = 20;
    volatile long loadMillis = 30;

    Runner(String id, String host) throws IOException {
        this.id = id;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(host, 0));
        address = host + ":" + server.getLocalPort();
        Feed.daemon(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                Feed.daemon(() -> serve(connection));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Map<String, String> fields = new ConcurrentHashMap<>();
                Matcher matcher = FIELD.matcher(line);
                while (matcher.find()) {
                    fields.put(matcher.group(1), matcher.group(2));
                }
                onCommand(connection, fields);
            }
        } catch (IOException e) {
            // the connection has ended
        } finally {
            connections.remove(connection);
        }
    }

    private void onCommand(Socket connection, Map<String, String> fields) {
        String request = fields.get("req");
        switch (fields.get("type")) {
            case "CALL" -> {
                Record.line(
                        "runner %s: CALL %s function %s budget %s%s",
                        id, request, fields.get("path"), fields.get("budget"), isDraining ? " (draining)" : "");
                onCall(request, fields);
                if (isDraining) {
                    answer(connection, "overload", request, "{}", null);
                } else {
                    Feed.daemon(() -> run(connection, request, fields));
                }
            }
            case "LOAD" -> {
                int count = Integer.parseInt(fields.getOrDefault("count", "0"));
                Record.line("runner %s: LOAD %s function %s count %d", id, request, fields.get("path"), count);
                onLoad(request, fields.get("path"), count);
                if (isDraining) {
                    answer(connection, "overload", request, "{\"count\":0}", null);
                } else {
                    Feed.daemon(() -> load(connection, request, fields.get("path"), count));
                }
            }
            case "PING" -> answer(connection, "green", request, "{}", null);
            default -> Record.line("runner %s: %s %s", id, fields.get("type"), request);
        }
    }

    /** Called for each call as it has arrived. */
    void onCall(String request, Map<String, String> fields) {}

    /** Called for each order as it has arrived. */
    void onLoad(String request, String function, int count) {}

    private void load(Socket connection, String request, String function, int count) {
        if (count > 0 && loaded.add(function)) {
            sleep(loadMillis);
        }
        answer(connection, "served", request, "{\"count\":" + (loaded.contains(function) ? Math.max(1, count) : 0) + "}", null);
    }

    private void run(Socket connection, String request, Map<String, String> fields) {
        boolean isNew = loaded.add(fields.get("path"));
        sleep(isNew ? loadMillis + workMillis : workMillis);
        Record.line("runner %s: ran %s", id, request);
        answer(connection, "served", request, "{\"detail\":\"" + (isNew ? "spawn" : "hit") + "\"}", fields.getOrDefault("data", ""));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void answer(Socket connection, String word, String request, String meta, String data) {
        String line = "{\"type\":\"" + word + "\",\"req\":\"" + request + "\",\"meta\":" + meta
                + (data == null ? "" : ",\"data\":\"" + data + "\"") + "}\n";
        try {
            synchronized (connection) {
                OutputStream out = connection.getOutputStream();
                out.write(line.getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // the dispatcher has closed the connection
        }
    }

    /** Resets all open connections. */
    void reset() throws IOException {
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        Record.line("runner %s: connections reset", id);
    }

    /** Ends as a process does: the port is closed and all connections are reset. */
    void stop() throws IOException {
        server.close();
        reset();
    }
}
