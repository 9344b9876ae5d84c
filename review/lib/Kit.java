import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the cases in this folder: control feed, runner, client, and the start of a dispatcher. Loopback only. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Whether the case is played with its disruption; set by the script from TROUBLE. */
    static final boolean TROUBLE = Boolean.getBoolean("trouble");
    /** Exit codes for the script, apart from those that the JVM itself gives, such as 1 if it can't start. */
    private static final int HELD = 10;

    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;
    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, runnable -> {
        Thread thread = new Thread(runnable, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Kit() {}

    // ---- Record -----------------------------------------------------------------------------

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    static double millis() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void note(String format, Object... arguments) {
        String line = String.format("%10.1f ms  ", millis()) + String.format(format, arguments);
        synchronized (Kit.class) {
            record.println(line);
        }
    }

    static void say(String format, Object... arguments) {
        note(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    /** Writes the verdict and ends this process. */
    static void end(boolean isBroken, String format, Object... arguments) {
        say((isBroken ? "BROKEN: " : "HELD: ") + format, arguments);
        synchronized (Kit.class) {
            record.flush();
        }
        System.exit(isBroken ? BROKEN : HELD);
    }

    /** Plays a case; if it can't run, ends this process with a code that says so. */
    static void run(Path recordFile, Task body) {
        try {
            openRecord(recordFile);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                synchronized (Kit.class) {
                    record.flush();
                }
            }));
            body.run();
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(NOT_RUN);
        }
    }

    static void daemon(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // the peer has closed the connection
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    interface Task {
        void run() throws Exception;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    static String id() {
        return String.format("%016x", java.util.concurrent.ThreadLocalRandom.current().nextLong());
    }

    // ---- The control feed -------------------------------------------------------------------

    /** A control feed that numbers its events from 1 and writes a comment each second. */
    static final class Feed {
        final ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
        private final List<String> events = new ArrayList<>();

        Feed() throws IOException {
            daemon("feed", () -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon("feed-connection", () -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void publish(boolean isWholeList, String instances) {
            int n = events.size() + 1;
            events.add("{\"n\":" + n + ",\"members\":{\"generation\":" + n + ",\"reset\":" + isWholeList
                    + ",\"instances\":[" + instances + "]}}");
            notifyAll();
        }

        synchronized String known() {
            return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                int next = 1;
                String line;
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!(line = readLine(in)).isEmpty()) {
                    if (line.toLowerCase().startsWith("last-event-id:")) {
                        next = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()) + 1;
                    }
                }
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n".getBytes());
                while (true) {
                    StringBuilder text = new StringBuilder();
                    synchronized (this) {
                        if (next > events.size()) {
                            wait(1000);
                        }
                        for (; next <= events.size(); next++) {
                            text.append("id: ").append(next).append("\ndata: ").append(events.get(next - 1)).append("\n\n");
                        }
                    }
                    out.write((text.length() > 0 ? text.toString() : ": alive\n\n").getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            }
        }
    }

    static String instance(String id, int port, String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                + "\",\"zone\":\"z\",\"machineType\":\"small\",\"cell\":1,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new IOException("end of stream");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    // ---- Runners ----------------------------------------------------------------------------

    /** A call as it arrived at a runner. */
    record RunnerCall(Runner runner, String id, String function, String data, double atMillis) {}

    /** A runner that has every function loaded and answers each call after a time with the body of the call. */
    static final class Runner {
        private static final Pattern TYPE = Pattern.compile("\"type\":\"(\\w+)\"");
        private static final Pattern REQ = Pattern.compile("\"req\":\"(\\w+)\"");
        private static final Pattern PATH = Pattern.compile("\"path\":\"(\\w+)\"");
        private static final Pattern DATA = Pattern.compile("\"data\":\"([^\"]*)\"");
        private static final Pattern COUNT = Pattern.compile("\"count\":(\\d+)");

        final String name;
        final ServerSocket server = new ServerSocket(0, 512, LOOPBACK);
        final long serviceMillis;
        /** Calls that run at a time; the others wait in line. */
        final int lanes;
        private int running;
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        volatile Consumer<RunnerCall> onCall = call -> {};
        /** Whether a function exists; a call of another one is answered with an error at once. */
        volatile Predicate<String> known = function -> true;
        final AtomicInteger calls = new AtomicInteger();

        Runner(String name, long serviceMillis, int lanes) throws IOException {
            this.name = name;
            this.serviceMillis = serviceMillis;
            this.lanes = lanes;
            daemon(name, () -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(name + "-connection", () -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                OutputStream out = socket.getOutputStream();
                while (true) {
                    onLine(readLine(in), out);
                }
            }
        }

        private void onLine(String line, OutputStream out) {
            String type = find(TYPE, line);
            String req = find(REQ, line);
            switch (type) {
                case "PING" -> answer(out, "{\"type\":\"green\",\"req\":\"" + req + "\"}");
                case "LOAD" -> {
                    int count = known.test(find(PATH, line)) ? Math.max(1, Integer.parseInt(find(COUNT, line))) : 0;
                    answer(out, "{\"type\":\"served\",\"req\":\"" + req + "\",\"meta\":{\"count\":" + count + "}}");
                }
                case "CALL" -> {
                    calls.incrementAndGet();
                    String data = find(DATA, line);
                    note("run       %s arrives at %s", req, name);
                    onCall.accept(new RunnerCall(this, req, find(PATH, line), data, millis()));
                    if (!known.test(find(PATH, line))) {
                        answer(out, "{\"type\":\"crashed\",\"req\":\"" + req + "\",\"meta\":{}}");
                        return;
                    }
                    enqueue(() -> {
                        note("run       %s ends at %s", req, name);
                        answer(
                                out,
                                "{\"type\":\"served\",\"req\":\"" + req + "\",\"meta\":{\"detail\":\"hit\"},\"data\":\""
                                        + data + "\"}");
                    });
                }
                default -> {} // CANCEL and UNLOAD have no answer
            }
        }

        private synchronized void enqueue(Runnable end) {
            if (running < lanes) {
                running++;
                start(end);
            } else {
                waiting.add(end);
            }
        }

        private void start(Runnable end) {
            TIMER.schedule(
                    () -> {
                        end.run();
                        onEnded();
                    },
                    serviceMillis,
                    TimeUnit.MILLISECONDS);
        }

        private synchronized void onEnded() {
            Runnable next = waiting.poll();
            if (next == null) {
                running--;
            } else {
                start(next);
            }
        }

        private static void answer(OutputStream out, String line) {
            try {
                synchronized (out) {
                    out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            } catch (IOException e) {
                // the dispatcher has closed the connection
            }
        }

        private static String find(Pattern pattern, String line) {
            Matcher matcher = pattern.matcher(line);
            return matcher.find() ? matcher.group(1) : "";
        }
    }

    // ---- Clients ----------------------------------------------------------------------------

    /** The answer to a request; a word of null means that the connection ended without one. */
    record Answer(long tag, String word, String fields, byte[] body) {}

    /** A connection of a client that speaks the protocol. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final OutputStream out;
        private final DataInputStream in;
        private final Map<Long, Consumer<Answer>> open = new ConcurrentHashMap<>();
        private final AtomicLong nextTag = new AtomicLong();
        volatile String end; // null while the connection is open
        private final AtomicBoolean isEndCounted = new AtomicBoolean();

        Connection(int port) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
            daemon("client-reader", this::read);
        }

        int openRequests() {
            return open.size();
        }

        /** Returns true once. */
        boolean countEnd() {
            return isEndCounted.compareAndSet(false, true);
        }

        /** Builds a request; it counts as open from now on. */
        byte[] request(String verb, String requestClass, String fields, byte[] body, Consumer<Answer> onAnswer) {
            long tag = nextTag.incrementAndGet();
            open.put(tag, onAnswer);
            return command(verb, Long.toString(tag), requestClass, fields, body);
        }

        /** Forgets the last request, whose write has failed; returns false if the end of the connection has ended it already. */
        boolean withdrawLast() {
            return open.remove(nextTag.get()) != null;
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        private void read() {
            String reason = "closed";
            try {
                while (true) {
                    String head = readLine(in);
                    if (!head.startsWith("*")) {
                        reason = head;
                        break;
                    }
                    int parts = Integer.parseInt(head.substring(1));
                    byte[][] values = new byte[parts][];
                    for (int i = 0; i < parts; i++) {
                        values[i] = new byte[Integer.parseInt(readLine(in).substring(1))];
                        in.readFully(values[i]);
                        in.readFully(new byte[2]);
                    }
                    long tag = Long.parseLong(new String(values[0]));
                    Consumer<Answer> onAnswer = open.remove(tag);
                    if (onAnswer != null) {
                        onAnswer.accept(new Answer(
                                tag,
                                new String(values[1]),
                                parts > 2 ? new String(values[2]) : "",
                                parts > 3 ? values[3] : new byte[0]));
                    }
                }
            } catch (IOException | NumberFormatException e) {
                reason = "closed (" + e.getMessage() + ")";
            }
            end = reason;
            close();
            for (Long tag : List.copyOf(open.keySet())) {
                Consumer<Answer> onAnswer = open.remove(tag);
                if (onAnswer != null) {
                    onAnswer.accept(new Answer(tag, null, reason, null));
                }
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }

    static byte[] command(String verb, String tag, String requestClass, String fields, byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[][] parts = {verb.getBytes(), tag.getBytes(), requestClass.getBytes(), fields.getBytes(), body};
        bytes.writeBytes(("*" + parts.length + "\r\n").getBytes());
        for (byte[] part : parts) {
            bytes.writeBytes(("$" + part.length + "\r\n").getBytes());
            bytes.writeBytes(part);
            bytes.writeBytes("\r\n".getBytes());
        }
        return bytes.toByteArray();
    }

    // ---- The dispatcher ---------------------------------------------------------------------

    /** A dispatcher that the command {@code run} of the deploy file started. */
    static final class Dispatcher implements AutoCloseable {
        final int port = freePort();
        final Process process;
        final Path folder;

        Dispatcher(String config, Path log) throws Exception {
            Path root = Path.of(System.getProperty("root"));
            folder = Files.createTempDirectory("review");
            Path file = folder.resolve("config.json");
            Files.writeString(file, config.replace("LISTEN", "127.0.0.1:" + port));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("PROXY_NAME", "n0");
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_CONFIG", file.toString());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(this::end));
            awaitFit();
        }

        private void awaitFit() throws Exception {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < deadline && process.isAlive()) {
                try (Connection connection = new Connection(port)) {
                    String[] word = new String[1];
                    connection.write(connection.request("PING", "", "", new byte[0], answer -> word[0] = answer.word()));
                    Thread.sleep(100);
                    if ("fit".equals(word[0])) {
                        say("dispatcher: fit, process %d, port %d", process.pid(), port);
                        return;
                    }
                } catch (IOException e) {
                    Thread.sleep(100);
                }
            }
            throw new IllegalStateException("the dispatcher did not get ready");
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        /** Ends the process, waits for its end and removes its folder. Also run as this process exits. */
        private synchronized void end() {
            try {
                process.destroyForcibly().waitFor();
                if (Files.exists(folder)) {
                    try (var files = Files.walk(folder)) {
                        for (Path file : files.sorted(Collections.reverseOrder()).toList()) {
                            Files.deleteIfExists(file);
                        }
                    }
                }
            } catch (IOException | InterruptedException e) {
                System.err.println("the dispatcher's folder is left: " + e);
            }
        }

        @Override
        public void close() {
            end();
        }
    }

    /** Runners that the feed lists as ready. */
    static List<Runner> runners(Feed feed, int count, long serviceMillis, int lanes) throws IOException {
        List<Runner> runners = new ArrayList<>();
        List<String> instances = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Runner runner = new Runner("s-" + i, serviceMillis, lanes);
            runners.add(runner);
            instances.add(instance(runner.name, runner.port(), "ready"));
        }
        feed.publish(true, String.join(",", instances));
        return runners;
    }

    // ---- A client that keeps to the pages ---------------------------------------------------

    /** Sends requests at a steady rate over some connections, and judges their answers. */
    static final class SteadyClient {
        static final int WAIT_MILLIS = 2500;
        /** An answer counts until half a second after the client's time, and 50 ms of slack on sockets. */
        static final int GRACE_MILLIS = 550;

        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger answered = new AtomicInteger();
        final AtomicInteger lost = new AtomicInteger();
        final Map<String, AtomicInteger> words = new ConcurrentHashMap<>();
        private final int port;
        private final Connection[] connections;
        private final String function;
        private volatile boolean isStopped;

        SteadyClient(int port, int connectionCount, int requestsPerSecond, String function) {
            this.port = port;
            this.connections = new Connection[connectionCount];
            this.function = function;
            daemon("steady-client", () -> {
                long next = System.nanoTime();
                for (int i = 0; !isStopped; i++) {
                    send(i % connectionCount);
                    next += 1_000_000_000L / requestsPerSecond;
                    TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
                }
            });
        }

        private void send(int index) {
            String id = id();
            boolean isRequested = false;
            try {
                if (connections[index] == null || connections[index].end != null) {
                    connections[index] = new Connection(port);
                }
                if (connections[index].openRequests() >= 32) {
                    return;
                }
                double sentAt = millis();
                String fields = "id=" + id + ",wait=" + WAIT_MILLIS + ",key=" + function + ",cost=150";
                byte[] request = connections[index].request(
                        "DO", "preview", fields, id.getBytes(), answer -> onAnswer(id, sentAt, answer));
                isRequested = true;
                sent.incrementAndGet();
                note("sent      %s", id);
                connections[index].write(request);
            } catch (IOException e) {
                note("not sent  %s: %s", id, e.getMessage());
                if (isRequested && connections[index].withdrawLast()) {
                    sent.decrementAndGet();
                }
            }
        }

        private void onAnswer(String id, double sentAt, Answer answer) {
            double took = millis() - sentAt;
            boolean isLost = answer.word() == null || took > WAIT_MILLIS + GRACE_MILLIS;
            (isLost ? lost : answered).incrementAndGet();
            String word = answer.word() == null ? "none" : answer.word();
            words.computeIfAbsent(word, key -> new AtomicInteger()).incrementAndGet();
            note("answered  %s: %s after %.0f ms%s", id, word, took, isLost ? ", LOST " + answer.fields() : "");
        }

        /** Sends nothing more, and waits until all that was sent is answered or its time is over. */
        void stop() throws InterruptedException {
            isStopped = true;
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS + GRACE_MILLIS + 200);
            while (answered.get() + lost.get() < sent.get() && System.nanoTime() < end) {
                Thread.sleep(20);
            }
            lost.addAndGet(Math.max(0, sent.get() - answered.get() - lost.get()));
        }

        @Override
        public String toString() {
            return sent + " requests sent, answers " + words + ", lost " + lost;
        }
    }

    /** The configuration of a small deployment, with the figures of a site. */
    static String config(Feed feed, String limits, String settings) {
        return "{\"name\":\"n0\",\"listen\":\"LISTEN\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits
                + ",\"peers\":[],\"feed\":\"" + feed.address() + "\",\"known\":" + feed.known() + ",\"settings\":" + settings
                + "}";
    }

    static String settings(String classes, String limits, String obligations) {
        return "{\"callers\":{\"marks_retry\":false},\"classes\":[" + classes + "],\"discovery\":\"pushed\",\"family\":\"warm\","
                + "\"family_info\":{\"keep_ns\":11000000000,\"load_control\":true,\"load_period_ns\":0,\"load_ratio\":0.0,"
                + "\"load_wait_ns\":10000000000,\"loads_anyway\":0.0,\"not_loaded\":\"load\",\"price_of_idle\":0.0,"
                + "\"ram_mb_by_kind\":[16384.0],\"says_company\":true,\"warm_notes\":true},"
                + "\"feedback\":{\"how\":\"silent\",\"names\":[]},"
                + "\"goal\":{\"whole\":0.4,\"worst_class\":0.2,\"worst_tenant\":0.1,\"worst_window\":0.3},"
                + "\"group_size\":3,\"kinds\":[\"small\"],\"limits\":" + limits + ",\"my_number\":0,\"obligations\":" + obligations
                + ",\"over_share_worth\":0.2,\"prices\":{\"connection\":0.0,\"cross_zone\":0.0,\"discovery\":0.0,"
                + "\"handshake\":0.0,\"late_fail\":0.05,\"moves\":0.0,\"origin\":0.1,\"peer\":0.01,\"probe\":0.01,\"waste\":0.05},"
                + "\"realms\":[{\"name\":\"abay-frames\",\"share\":1.0,\"quota_per_s\":0.0}],\"stage\":0,\"tick_ns\":4000000,"
                + "\"tiers\":[\"workers\"],\"weights\":\"nominal\",\"worth_by\":\"request\",\"zone\":\"z\",\"zones\":[\"z\"]}";
    }

    static String requestClass(String name, String effect, long aimMillis, long deadlineMillis) {
        return "{\"effect\":\"" + effect + "\",\"group\":\"all\",\"hard_limit_ns\":" + deadlineMillis * 1000000L
                + ",\"late_worth\":0.2,\"name\":\"" + name + "\",\"on_time_ns\":" + aimMillis * 1000000L
                + ",\"stream\":false,\"window_ns\":5000000000,\"worth\":2.0}";
    }

    static final String ADDIS_CLASSES = requestClass("preview", "idempotent", 1000, 2500) + ","
            + requestClass("price-check", "idempotent", 500, 2500) + ","
            + requestClass("place-order", "at_most_once", 600, 2500);
    static final String ADDIS_LIMITS = "{\"cancelling\":true,\"conn_idle_ns\":30000000000,\"cpu_us_per_request\":0.0,"
            + "\"cpu_us_per_s\":100000,\"dial_timeout_ns\":250000000,\"max_attempts\":3,\"max_open\":20000,"
            + "\"max_retry_after_ns\":2000000000,\"peers\":false,\"probes\":false,\"retry_after\":true,"
            + "\"second_copies\":false,\"streams_per_conn\":100}";
    static final String ADDIS_OBLIGATIONS = "{\"ask_within_ns\":10000000000,\"cold_from\":0.16,"
            + "\"grace_to_answer_ns\":16000000,\"overload_factor\":2.0,\"stop_sending_within_ns\":500000000,"
            + "\"tip_after_ns\":3000000000,\"warm_after_ns\":17000000000}";
}
