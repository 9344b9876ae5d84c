package wharfhinge.app.drill;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wharfhinge.standin.Http2Caller;
import wharfhinge.standin.judge.MemoryAccountingVerifier;

/** Samples the memory of worker processes in turn until stopped, and compares it with their memory accounting. */
final class MemorySampler {
    private static final long SAMPLE_INTERVAL_MS = 20;
    private static final int MAX_ATTEMPTS = 5;
    private final EventLoopGroup group;
    private final List<WorkerProcess> workers;
    private final MemoryAccountingVerifier judge = new MemoryAccountingVerifier();
    private final Map<Long, Http2Caller> callers = new HashMap<>();
    private final Thread thread = new Thread(this::run, "memory-watch");
    private volatile boolean stopped;

    MemorySampler(EventLoopGroup group, List<WorkerProcess> workers) {
        this.group = group;
        this.workers = workers;
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        for (int i = 0; !stopped; i++) {
            WorkerProcess worker = workers.get(i % workers.size());
            try {
                if (worker.alive()) {
                    sample(worker);
                }
                Thread.sleep(SAMPLE_INTERVAL_MS);
            } catch (IOException | ExecutionException | TimeoutException | RuntimeException e) {
                callers.remove(worker.pid()); // the worker died or hangs: there is nothing to compare
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sample(WorkerProcess worker)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        long pid = worker.pid();
        Http2Caller caller = callers.computeIfAbsent(pid, p -> new Http2Caller(group, worker.port()));
        String before = readAccounting(caller);
        for (int attempt = 1; ; attempt++) {
            String smaps = Files.readString(Path.of("/proc/" + pid + "/smaps"));
            String after = readAccounting(caller);
            if (attempt == MAX_ATTEMPTS || residentLine(before).equals(residentLine(after))) { // exact if unchanged
                judge.sample(worker.id(), before, smaps, after);
                return;
            }
            before = after;
        }
    }

    private static String residentLine(String accounting) {
        return accounting
                .lines()
                .filter(l -> l.startsWith("resident_kb"))
                .findFirst()
                .orElse("");
    }

    private static String readAccounting(Http2Caller caller)
            throws InterruptedException, ExecutionException, TimeoutException {
        return new String(
                caller.send(HttpMethod.GET, "/memory", new byte[0])
                        .get(500, TimeUnit.MILLISECONDS)
                        .body(),
                StandardCharsets.US_ASCII);
    }

    /** Stops sampling and returns the check with its findings. */
    MemoryAccountingVerifier stop() throws InterruptedException {
        stopped = true;
        thread.join(2000);
        callers.values().forEach(Http2Caller::close);
        return judge;
    }
}
