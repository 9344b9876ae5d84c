import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Sound clients: a steady rate of calls, spread over several connections, none with more than 32 open. */
final class UsualClients {
    private static final int CONNECTIONS = 40;
    static final long DEADLINE_MILLIS = 2500;
    /** An answer may come up to half a second after the time of its request; each limit is 50 ms longer. */
    static final long LAST_ANSWER_MILLIS = DEADLINE_MILLIS + 500 + 50;

    private final int port;
    private final int functions;
    private final double perSecond;
    private final Random random = new Random(1);
    private final Client[] clients = new Client[CONNECTIONS];
    private final List<Client.Call> calls = new ArrayList<>();

    UsualClients(int port, int functions, double perSecond) {
        this.port = port;
        this.functions = functions;
        this.perSecond = perSecond;
    }

    /** Sends calls for this long. A connection that has ended is replaced. */
    void callFor(long millis) {
        double start = Record.now();
        double due = start;
        while (due < start + millis) {
            Runner.sleep((long) Math.max(0, due - Record.now()));
            int slot = calls.size() % CONNECTIONS;
            try {
                if (clients[slot] == null) {
                    clients[slot] = new Client(port);
                }
                String function = String.format("%016x", random.nextInt(functions) + 1);
                calls.add(clients[slot].call("save", function, DEADLINE_MILLIS, ",tags=memory_mb:64;lanes:4", "x"));
            } catch (IOException e) {
                Record.line("client: %s", e);
                clients[slot] = null;
            }
            due += 1000 / perSecond;
        }
    }

    /** Waits until the last call has to have its answer, and returns how many calls were lost. */
    int countLost() throws InterruptedException {
        Thread.sleep(LAST_ANSWER_MILLIS);
        int lost = 0;
        double longest = 0;
        int served = 0;
        for (Client.Call call : calls) {
            Client.Answer answer = call.await(0);
            double took = answer == null || answer.isLost() ? Double.POSITIVE_INFINITY : answer.at() - call.sentAt();
            longest = Math.max(longest, took);
            served += answer != null && answer.word().equals("good") ? 1 : 0;
            if (took > LAST_ANSWER_MILLIS) {
                lost++;
                Record.line("lost: %s, sent at %.1f, answer after %.1f ms", call.id(), call.sentAt(), took);
            }
        }
        Record.result(
                "%d calls, %d served, %d lost; longest time to an answer %.0f ms, allowed %d",
                calls.size(), served, lost, longest, LAST_ANSWER_MILLIS);
        return lost;
    }
}
