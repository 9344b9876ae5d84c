/** Discovery is down for eight seconds, where orders to load are not allowed. A runner begins to drain meanwhile. */
final class DrainWithoutOrders extends DrainCase {
    private static final long OUTAGE_MILLIS = 8000;
    private static final long CALLS_FROM_MILLIS = 4600;

    public static void main(String[] arguments) {
        new DrainWithoutOrders().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        config.loadControl = false;
        start();
        breakOffAndDrain();
        sleepUntil(CALLS_FROM_MILLIS);
        callFor(OUTAGE_MILLIS - CALLS_FROM_MILLIS, 200);
        return judge();
    }
}
