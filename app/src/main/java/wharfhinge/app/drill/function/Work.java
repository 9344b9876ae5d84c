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
 * Waits as long as its input says, reads a little of its memory, and answers with the call's id; so that forty workers of
 * many cores fit one machine. Its package's {@code start-ms} is how long its start takes, {@code told} a folder in which
 * {@code PID.errors} and {@code PID.slower} may be put.
 */
public final class Work implements Function {
    private static final long USUAL_US = 20_000;
    private static final long MOST_US = 60_000_000;
    private CopyContext context;
    private Path told;
    private final long pid = ProcessHandle.current().pid();

    @Override
    public void start(CopyContext given) throws IOException, InterruptedException {
        context = given;
        told = Path.of(resource("told"));
        Thread.sleep(Long.parseLong(resource("start-ms")));
    }

    private String resource(String name) throws IOException {
        try (InputStream in = Work.class.getClassLoader().getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Override
    public byte[] call(Invocation call) throws Exception {
        byte[] input = call.input();
        long us = input.length < Long.BYTES ? USUAL_US : ByteBuffer.wrap(input).getLong();
        us = us < 0 || us > MOST_US ? USUAL_US : us;
        if (ThreadLocalRandom.current().nextDouble() < figure("errors", 0)) {
            throw new IllegalStateException("told to fail");
        }
        long endsAt = System.nanoTime() + (long) (us * 1000 * figure("slower", 1));
        long sum = 0;
        for (long left = endsAt - System.nanoTime(); left > 0; left = endsAt - System.nanoTime()) {
            sum += context.memory().get((int) (Math.abs(left) % context.memory().capacity()));
            Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
        return sum == Long.MIN_VALUE ? new byte[0] : call.id().getBytes(StandardCharsets.UTF_8);
    }

    private double figure(String what, double usual) throws IOException {
        Path file = told.resolve(pid + "." + what);
        return Files.exists(file) ? Double.parseDouble(Files.readString(file)) : usual;
    }
}
