/** Discovery is down for five seconds, and slow as it comes back. A runner begins to drain meanwhile. */
final class DrainBehindAnEarlyHead extends DrainCase {
    private static final long OUTAGE_MILLIS = 5000;
    /** From the head of the feed's answer to its first event; less than the second within which a comment comes. */
    private static final long SLOW_MILLIS = 900;

    public static void main(String[] arguments) {
        new DrainBehindAnEarlyHead().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        start();
        breakOffAndDrain();
        sleepUntil(OUTAGE_MILLIS);
        if (TROUBLE) {
            feed.delayMillis = SLOW_MILLIS;
            feed.comeBack();
            feed.awaitQuestion(5000);
        }
        callFor(1500, 50);
        return judge();
    }
}
