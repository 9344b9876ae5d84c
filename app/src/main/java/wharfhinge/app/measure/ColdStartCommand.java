package wharfhinge.app.measure;

import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.locks.LockSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.HttpCaller;

/** Measures how many calls a new gateway process under load doesn't serve in time, with and without its warm-up. */
@Command(
        name = "cold",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Sends calls at a fixed rate to a gateway process from the moment it accepts calls, with and without its warm-up, and "
                        + "prints for each second how many calls were not served within 50 ms of the time when they were due.")
final class ColdStartCommand implements Callable<Integer> {
    private static final int WORKERS = 20;
    private static final int FUNCTIONS = 200;
    private static final long IN_TIME_NS = 50_000_000;
    private static final long LAST_RESPONSES_MS = 1500;
    private static final String DEADLINE_MS = "1000";

    @Option(names = "--rate", defaultValue = "3000", description = "Calls per second. Default ${DEFAULT-VALUE}.")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "6",
            description = "Duration of each run in seconds. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--rounds",
            defaultValue = "2",
            description = "Rounds of one run without and one with warm-up. Default ${DEFAULT-VALUE}.")
    private int rounds;

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "%d processors; %d calls a second%n| rehearsal | start ms | not in time in second 1 | 2 | 3 | further | all |%n"
                        + "| --- | --- | --- | --- | --- | --- | --- |%n",
                Runtime.getRuntime().availableProcessors(), rate);
        try (LoopbackTestbed testbed = new LoopbackTestbed(WORKERS)) {
            HttpCaller warmCaller = new HttpCaller(
                    testbed.group, testbed.gateway("other", null, "", "info", 1).port());
            MeasureCommand.runClosedLoop(warmCaller, 4, FUNCTIONS); // JIT compilation here and in the workers
            for (int round = 0; round < rounds; round++) {
                for (String warmUp : new String[] {"none", "yes"}) {
                    long from = System.nanoTime();
                    LoopbackTestbed.RunningGateway gateway = testbed.gateway(
                            warmUp + round, null, "", "info", 1, warmUp.equals("none") ? " rehearse-ms=\"0\"" : "");
                    long startMillis = (System.nanoTime() - from) / 1_000_000;
                    int[] missed = countMissed(new HttpCaller(testbed.group, gateway.port()));
                    int missedLater = 0;
                    for (int i = 3; i < seconds; i++) {
                        missedLater += missed[i];
                    }
                    System.out.printf(
                            "| %s | %d | %d | %d | %d | %d | %d |%n",
                            warmUp,
                            startMillis,
                            missed[0],
                            missed[1],
                            missed[2],
                            missedLater,
                            missed[0] + missed[1] + missed[2] + missedLater);
                    gateway.process().destroy();
                    gateway.process().waitFor();
                }
            }
        }
        return Program.OK;
    }

    /** Counts by second the calls that were not served in time. */
    private int[] countMissed(HttpCaller caller) throws InterruptedException {
        AtomicIntegerArray inTime = new AtomicIntegerArray(seconds);
        long begin = System.nanoTime();
        for (int i = 0; i < rate * seconds; i++) {
            long due = begin + i * 1_000_000_000L / rate;
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            int second = i / rate;
            MeasureCommand.send(
                    caller,
                    i,
                    FUNCTIONS,
                    DEADLINE_MS,
                    () -> {
                        if (System.nanoTime() - due <= IN_TIME_NS) {
                            inTime.incrementAndGet(second);
                        }
                    },
                    () -> {});
        }
        Thread.sleep(LAST_RESPONSES_MS);
        int[] missed = new int[seconds];
        for (int i = 0; i < seconds; i++) {
            missed[i] = rate - inTime.get(i);
        }
        return missed;
    }
}
