import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** A client of a dispatcher: one connection that speaks RESP. Answers may come in any order. */
final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    private final Socket socket;
    private final OutputStream out;
    private final Map<String, CompletableFuture<Answer>> open = new ConcurrentHashMap<>();
    private long lastTag;

    /** An answer; word is "connection ended" where the connection ended without one. */
    record Answer(String word, String fields, String body, double at) {
        boolean isLost() {
            return word.equals("connection ended");
        }
    }

    /** A call that was sent. */
    record Call(String id, long tag, double sentAt, CompletableFuture<Answer> answer) {
        /** The answer, or null if none has come within the time. */
        Answer await(long millis) throws InterruptedException {
            try {
                return answer.get(millis, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                return null;
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    Client(int port) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(this::read, "client-reader");
        reader.setDaemon(true);
        reader.start();
    }

    String ping() throws IOException, InterruptedException {
        Answer answer = command("PING", "").await(1000);
        return answer == null ? null : answer.word();
    }

    /** Sends a call and records it. */
    Call call(String requestClass, String function, long waitMillis, String moreFields, String body) throws IOException {
        String id = String.format("%016x", IDS.incrementAndGet());
        String fields = "id=" + id + ",wait=" + waitMillis + ",key=" + function + moreFields;
        Call call = send(id, "DO", requestClass, fields, body);
        Record.line("client: DO %s %s %s function %s wait %d", call.tag(), id, requestClass, function, waitMillis);
        call.answer().thenAccept(answer -> Record.line("client: %s answered %s %s", id, answer.word(), answer.fields()));
        return call;
    }

    void cancel(Call call) throws IOException {
        open.remove(Long.toString(call.tag()));
        write("UNDO", Long.toString(call.tag()));
        Record.line("client: UNDO %s", call.id());
    }

    private Call command(String verb, String third) throws IOException {
        return send("", verb, third);
    }

    private synchronized Call send(String id, String verb, String... parts) throws IOException {
        long tag = ++lastTag;
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        open.put(Long.toString(tag), answer);
        List<String> all = new ArrayList<>(List.of(verb, Long.toString(tag)));
        all.addAll(List.of(parts));
        write(all.toArray(String[]::new));
        return new Call(id, tag, Record.now(), answer);
    }

    private synchronized void write(String... parts) throws IOException {
        StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
        for (String part : parts) {
            text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
        }
        out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void read() {
        try {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String[] parts = new String[Integer.parseInt(header(in, '*'))];
                for (int i = 0; i < parts.length; i++) {
                    byte[] part = in.readNBytes(Integer.parseInt(header(in, '$')) + 2);
                    parts[i] = new String(part, 0, part.length - 2, StandardCharsets.ISO_8859_1);
                }
                CompletableFuture<Answer> answer = open.remove(parts[0]);
                if (answer == null) {
                    Record.line("client: answer %s to tag %s, which is not open", parts[1], parts[0]);
                } else {
                    answer.complete(new Answer(
                            parts[1], parts.length > 2 ? parts[2] : "", parts.length > 3 ? parts[3] : "", Record.now()));
                }
            }
        } catch (IOException | RuntimeException e) {
            List.copyOf(open.values())
                    .forEach(answer -> answer.complete(new Answer("connection ended", e.toString(), "", Record.now())));
            open.clear();
        }
    }

    private static String header(BufferedInputStream in, char marker) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of the connection");
            }
            line.append((char) next);
        }
        if (line.charAt(0) != marker) {
            throw new IOException("not " + marker + ": " + line);
        }
        return line.substring(1).trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
