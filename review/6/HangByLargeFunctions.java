import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A bad client sends 300 requests at once, four times within 15 s, each of a new function that needs more memory than any runner has, and
 * then stops. Usual clients call all the time; those of the second half begin 13 s after the last bad request.
 */
final class HangByLargeFunctions extends FleetCase {
    private static final int BURSTS = 4;
    private static final long BURST_PERIOD_MILLIS = 5000;
    private static final int CONNECTIONS = 15;
    private static final int REQUESTS_PER_CONNECTION = 20;
    private static final long FIRST_BAD_FUNCTION = 0xbad0000L;

    private int badRequests;

    public static void main(String[] arguments) {
        new HangByLargeFunctions().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        start();
        fleet.isUnusable = function -> Long.parseUnsignedLong(function, 16) >= FIRST_BAD_FUNCTION;
        UsualClients first = new UsualClients(config.port, 10, 20);
        first.callFor(3000);
        List<Client> connections = new ArrayList<>();
        for (int i = 0; i < (TROUBLE ? CONNECTIONS : 0); i++) {
            connections.add(new Client(config.port));
        }
        for (int burst = 0; burst < BURSTS; burst++) {
            for (Client connection : connections) {
                beBad(connection);
            }
            Record.line("bad client: %d requests sent so far", badRequests);
            first.callFor(BURST_PERIOD_MILLIS);
        }
        first.callFor(8000);
        Record.line("usual clients of the second half begin");
        UsualClients second = new UsualClients(config.port, 10, 20);
        second.callFor(30_000);
        int lost = first.countLost();
        return judge(second) && lost == 0;
    }

    private void beBad(Client connection) {
        try {
            for (int i = 0; i < REQUESTS_PER_CONNECTION; i++) {
                String function = String.format("%016x", FIRST_BAD_FUNCTION + badRequests);
                connection.call("save", function, config.deadlineMillis, ",tags=memory_mb:900000000;lanes:1", "x");
                badRequests++;
            }
        } catch (IOException e) {
            Record.line("bad client: %s", e);
        }
    }
}
