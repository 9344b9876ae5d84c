import java.util.ArrayList;
import java.util.List;

/** A bad client sends 200 requests at once, whose functions need more memory than any runner has. */
final class StallByLargeFunctions extends FleetCase {
    private static final int BAD_REQUESTS = 200;
    private static final int BAD_CONNECTIONS = 10;

    public static void main(String[] arguments) {
        new StallByLargeFunctions().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        start();
        UsualClients clients = new UsualClients(config.port, 10, 20);
        clients.callFor(3000);
        if (TROUBLE) {
            beBad();
        }
        clients.callFor(8000);
        return judge(clients);
    }

    /** Sends the bad requests, 20 on each of ten connections. */
    private void beBad() throws Exception {
        List<Client> connections = new ArrayList<>();
        for (int i = 0; i < BAD_CONNECTIONS; i++) {
            connections.add(new Client(config.port));
        }
        for (int i = 0; i < BAD_REQUESTS; i++) {
            String function = String.format("%016x", 0xbad0000L + i);
            connections
                    .get(i % BAD_CONNECTIONS)
                    .call("save", function, config.deadlineMillis, ",tags=memory_mb:900000000;lanes:1", "x");
        }
        Record.line("bad client: %d requests sent", BAD_REQUESTS);
    }
}
