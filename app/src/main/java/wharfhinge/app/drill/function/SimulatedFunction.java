package wharfhinge.app.drill.function;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import wharfhinge.worker.api.CopyContext;
import wharfhinge.worker.api.Function;
import wharfhinge.worker.api.Invocation;

/**
 * Simulates a function: waits as long as its input says, reads a byte of its memory from time to time and answers with the id of
 * the call. It waits instead of computing so that forty workers of many cores fit one machine. Two resources of its package
 * configure it: {@code start-ms} is the length of its start in milliseconds; {@code told} names a folder with fault files, where
 * {@code PID.errors} holds the share of calls that fail and {@code PID.slower} the factor by which calls take longer.
 */
public final class SimulatedFunction implements Function {
    private static final long DEFAULT_DURATION_US = 20_000;
    private static final long MAX_DURATION_US = 60_000_000;
    private CopyContext context;
    private Path faultFolder;
    private final long pid = ProcessHandle.current().pid();

    @Override
    public void start(CopyContext copyContext) throws IOException, InterruptedException {
        context = copyContext;
        faultFolder = Path.of(resource("told"));
        Thread.sleep(Long.parseLong(resource("start-ms")));
    }

    private String resource(String name) throws IOException {
        try (InputStream in = SimulatedFunction.class.getClassLoader().getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Override
    public byte[] call(Invocation call) throws Exception {
        byte[] input = call.input();
        long durationMicros = input.length < Long.BYTES
                ? DEFAULT_DURATION_US
                : ByteBuffer.wrap(input).getLong();
        durationMicros = durationMicros < 0 || durationMicros > MAX_DURATION_US ? DEFAULT_DURATION_US : durationMicros;
        if (ThreadLocalRandom.current().nextDouble() < readFault("errors", 0)) {
            throw new IllegalStateException("injected failure");
        }
        long endNanos = System.nanoTime() + (long) (durationMicros * 1000 * readFault("slower", 1));
        long sum = 0;
        for (long remainingNanos = endNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = endNanos - System.nanoTime()) {
            sum += context.memory()
                    .get((int) (Math.abs(remainingNanos) % context.memory().capacity()));
            Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
        }
        return sum == Long.MIN_VALUE ? new byte[0] : call.id().getBytes(StandardCharsets.UTF_8);
    }

    private double readFault(String faultName, double defaultValue) throws IOException {
        Path file = faultFolder.resolve(pid + "." + faultName);
        return Files.exists(file) ? Double.parseDouble(Files.readString(file)) : defaultValue;
    }
}
