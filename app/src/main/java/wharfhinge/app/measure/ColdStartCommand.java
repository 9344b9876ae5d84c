package wharfhinge.app.measure;

import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.locks.LockSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.HttpCaller;

/** What the first seconds of a new process are like under full load, with and without its rehearsal. */
@Command(
        name = "cold",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Sends calls at a steady rate to a gateway process from the moment it takes calls, with and without its rehearsal: by "
                        + "second the calls that were not served within 50 ms of when they were due.")
final class ColdStartCommand implements Callable<Integer> {
    private static final int WORKERS = 20;
    private static final int FUNCTIONS = 200;
    private static final long IN_TIME_NS = 50_000_000;
    private static final long LAST_ANSWERS_MS = 1500;
    private static final String PATIENCE_MS = "1000";

    @Option(names = "--rate", defaultValue = "3000", description = "Calls a second. Default ${DEFAULT-VALUE}.")
    private int rate;

    @Option(names = "--seconds", defaultValue = "6", description = "Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(names = "--rounds", defaultValue = "2", description = "Default ${DEFAULT-VALUE}.")
    private int rounds;

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "%d processors; %d calls a second%n| rehearsal | start ms | not in time in second 1 | 2 | 3 | further | all |%n"
                        + "| --- | --- | --- | --- | --- | --- | --- |%n",
                Runtime.getRuntime().availableProcessors(), rate);
        try (Bench bench = new Bench(WORKERS)) {
            HttpCaller warm = new HttpCaller(
                    bench.group, bench.gateway("other", null, "", "info", 1).port());
            MeasureCommand.closed(warm, 4, FUNCTIONS); // this process's own compiler, and the workers'
            for (int round = 0; round < rounds; round++) {
                for (String way : new String[] {"none", "yes"}) {
                    long from = System.nanoTime();
                    Bench.Started gateway = bench.gateway(
                            way + round, null, "", "info", 1, way.equals("none") ? " rehearse-ms=\"0\"" : "");
                    long startMillis = (System.nanoTime() - from) / 1_000_000;
                    int[] wanting = play(new HttpCaller(bench.group, gateway.port()));
                    int further = 0;
                    for (int i = 3; i < seconds; i++) {
                        further += wanting[i];
                    }
                    System.out.printf(
                            "| %s | %d | %d | %d | %d | %d | %d |%n",
                            way,
                            startMillis,
                            wanting[0],
                            wanting[1],
                            wanting[2],
                            further,
                            wanting[0] + wanting[1] + wanting[2] + further);
                    gateway.process().destroy();
                    gateway.process().waitFor();
                }
            }
        }
        return Program.OK;
    }

    private int[] play(HttpCaller caller) throws InterruptedException {
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
                    PATIENCE_MS,
                    () -> {
                        if (System.nanoTime() - due <= IN_TIME_NS) {
                            inTime.incrementAndGet(second);
                        }
                    },
                    () -> {});
        }
        Thread.sleep(LAST_ANSWERS_MS);
        int[] wanting = new int[seconds];
        for (int i = 0; i < seconds; i++) {
            wanting[i] = rate - inTime.get(i);
        }
        return wanting;
    }
}
