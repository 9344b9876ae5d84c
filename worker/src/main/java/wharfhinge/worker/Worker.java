package wharfhinge.worker;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.decisions.copies.CopyScheduler;
import wharfhinge.decisions.copies.CopyScheduler.Answer;
import wharfhinge.decisions.copies.CopyScheduler.CallEnd;
import wharfhinge.decisions.copies.CopyScheduler.CopyUse;
import wharfhinge.decisions.copies.CopyScheduler.LoadEnd;
import wharfhinge.decisions.copies.CopyScheduler.OrderAnswer;
import wharfhinge.decisions.copies.MemoryAccounting;
import wharfhinge.decisions.copies.MemoryAccounting.Part;
import wharfhinge.decisions.copies.MemoryEstimate;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.LoadReport;
import wharfhinge.worker.copy.LoadedCopy;
import wharfhinge.worker.copy.Regions;
import wharfhinge.worker.image.ImageCache;
import wharfhinge.worker.image.Images;
import wharfhinge.worker.image.LoadFailedException;
import wharfhinge.worker.pack.Keys;

/**
 * A worker without its sockets: carries out the decisions of {@link CopyScheduler} on one event loop. Loads, stops and calls
 * run on threads of their own and report their results to the loop. The scheduler bounds the number of waiting calls and loads.
 */
final class Worker implements CopyScheduler.Actions, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Worker.class);
    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int RELEASE_RETRY_MS = 200;
    private static final int REFRESHES_PER_LEAK_CHECK = 5;

    /** Receives the answer to a call, on the event loop. */
    interface Reply {
        void answer(AnswerCode code, CopyNote note, int concurrentCalls, byte[] body);
    }

    /** Receives the answer to an order, on the event loop. */
    interface OrderReply {
        void answer(AnswerCode code, int readyCopies);
    }

    private static final class Call {
        private final WorkerCall headers;
        private final byte[] body;
        private final Reply reply;
        private long copy;
        private LoadedCopy.Execution execution;
        private Future<?> limitTimer;
        private byte[] output;

        Call(WorkerCall headers, byte[] body, Reply reply) {
            this.headers = headers;
            this.body = body;
            this.reply = reply;
        }
    }

    private final EventLoop loop;
    private final WorkerSettings settings;
    private final EventLog events;
    private final CopyScheduler scheduler;
    private final Regions regions;
    private final Images images;
    private final ProcessMemory processMemory = new ProcessMemory();
    private final ExecutorService loadExecutor;
    private final ExecutorService stopExecutor = Executors.newCachedThreadPool(daemonThreads("stop"));
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<Long, OrderReply> orders = new HashMap<>();
    private final Map<Long, LoadedCopy> copies = new HashMap<>();
    private final List<Runnable> drainListeners = new ArrayList<>();
    private final LoadTimes loadTimes = new LoadTimes();
    private String address = "-";
    private long nextNumber = 1;
    private int refreshCount;
    private String report = "";
    private volatile boolean closed;

    /** Creates a worker without copies; paths in the settings are relative to {@code baseFolder}. */
    Worker(WorkerSettings settings, Path baseFolder, EventLoop loop, EventLog events) throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.events = events;
        this.scheduler = new CopyScheduler(settings.copySettings(), this);
        this.loadExecutor = Executors.newFixedThreadPool(settings.maxConcurrentLoads(), daemonThreads("load"));
        Path folder = baseFolder.resolve(settings.imagesFolder());
        List<PublicKey> trustedKeys = new ArrayList<>();
        for (String file : settings.keyFiles()) {
            trustedKeys.add(Keys.publicKey(baseFolder.resolve(file)));
        }
        this.images = new Images(
                new ImageCache(folder, settings.maxImageBytes()),
                settings.storeUrl(),
                trustedKeys,
                settings.fetchTimeoutNanos(),
                settings.freshNanos());
        this.regions = new Regions(folder);
        refresh();
        loop.scheduleAtFixedRate(
                this::refresh, settings.refreshMillis(), settings.refreshMillis(), TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemonThreads(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + '-' + number.getAndIncrement());
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Sets the address by which the event log names this worker. */
    void setAddress(String value) {
        address = value;
    }

    // ---- Requests, on the event loop --------------------------------------------------------

    /** Accepts a call. Returns its number for {@link #cancel}. */
    long call(String function, WorkerCall headers, byte[] body, Reply reply) {
        long number = nextNumber++;
        long now = System.nanoTime();
        calls.put(number, new Call(headers, body, reply));
        events.log(
                "recv",
                "worker",
                address,
                "call",
                headers.id(),
                "attempt",
                headers.attempt(),
                "gw",
                headers.gateway(),
                "class",
                headers.requestClass(),
                "fn",
                function,
                "work_us",
                headers.costUs());
        scheduler.onCall(now, number, function, headers.memoryEstimate(), now + headers.waitMillis() * NANOS_PER_MS);
        return number;
    }

    /** Cancels a call whose gateway no longer waits for the answer. */
    void cancel(long number) {
        Call call = calls.get(number);
        if (call != null) {
            events.log("cancelled", "worker", address, "call", call.headers.id(), "attempt", call.headers.attempt());
            boolean isWaiting = call.execution == null;
            scheduler.onCallCancelled(System.nanoTime(), number);
            if (isWaiting) {
                calls.remove(number);
            }
        }
    }

    /** Accepts an order to hold {@code count} copies of a function. Returns its number for {@link #cancelOrder}. */
    long orderCopies(String function, int count, WorkerCall headers, OrderReply reply) {
        long number = nextNumber++;
        orders.put(number, reply);
        events.log("hold", "worker", address, "fn", function, "count", count, "gw", headers.gateway());
        scheduler.onLoadOrder(System.nanoTime(), number, function, count, headers.memoryEstimate());
        return number;
    }

    /** Cancels an order whose gateway no longer waits for the answer. */
    void cancelOrder(long number) {
        if (orders.remove(number) != null) {
            scheduler.onLoadOrderCancelled(System.nanoTime(), number);
        }
    }

    /** Unloads the idle copies of a function. */
    void unload(String function, WorkerCall headers) {
        events.log("unload", "worker", address, "fn", function, "gw", headers.gateway());
        scheduler.onUnloadOrder(System.nanoTime(), function);
    }

    /** Rejects new calls from now on and runs {@code onAllAnswered} once all calls in flight are answered. */
    void drain(Runnable onAllAnswered) {
        drainListeners.add(onAllAnswered);
        scheduler.onDrain(System.nanoTime());
    }

    /** The load report of the last refresh, as it is sent with answers. */
    String report() {
        return report;
    }

    /** The current memory accounting by name, in KiB, with counts of copies, calls and loads and the times of loads. */
    Map<String, Long> memoryStatus() {
        MemoryAccounting memory = scheduler.memory();
        Map<String, Long> figures = new LinkedHashMap<>();
        figures.put("total_kb", memory.totalKb());
        figures.put("free_kb", memory.freeKb());
        for (Part part : Part.values()) {
            figures.put(part.name().toLowerCase(java.util.Locale.ROOT) + "_kb", memory.bookedKb(part));
        }
        figures.put("leaked_kb", memory.leakedKb());
        figures.put("resident_kb", regions.residentKb());
        figures.put("copies", (long) scheduler.copyCount());
        figures.put("calls_held", (long) scheduler.callsInFlight());
        figures.put("loads", (long) scheduler.pendingLoads());
        loadTimes.addTo(figures);
        return figures;
    }

    private void runOnLoop(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("task rejected by the closed event loop", e);
        }
    }

    private void refresh() {
        long now = System.nanoTime();
        scheduler.onTick(now);
        if (refreshCount++ % REFRESHES_PER_LEAK_CHECK == 0) {
            scheduler.onLeakMeasured(
                    now,
                    ProcessMemory.leakedKb(
                            processMemory.residentKb(),
                            processMemory.mappedKb(),
                            regions.residentKb(),
                            regions.mappedKb(),
                            settings.ownMemoryKb()));
        }
        Map<String, Double> loadFigures = new LinkedHashMap<>();
        loadFigures.put("rif", (double) scheduler.callsInFlight());
        loadFigures.put("x0", scheduler.memory().busyShare());
        loadFigures.put("q", (double) scheduler.queuedCalls());
        loadFigures.put("x1", (double) scheduler.pendingLoads());
        report = LoadReport.format(loadFigures);
    }

    // ---- Actions of the scheduler, on the event loop ----------------------------------------

    @Override
    public void startLoad(long copy, String function, long reservedKb) {
        loadExecutor.execute(() -> load(copy, function));
    }

    /** Loads a copy, on a thread of the load executor. */
    private void load(long copy, String function) {
        LoadedCopy loaded = null;
        try {
            Images.Image image = images.get(function);
            long startedAt = System.nanoTime();
            MemoryEstimate estimate = new MemoryEstimate(
                    image.contents().manifest().memoryMb() * 1024L,
                    image.contents().manifest().slots());
            boolean isReserved = loop.submit(() -> scheduler.onMemoryMeasured(System.nanoTime(), copy, estimate))
                    .get();
            if (!isReserved) {
                reportLoadEnd(copy, function, LoadEnd.NEEDS_MORE_MEMORY, null, "needs " + estimate.memoryKb() + " KiB");
                return;
            }
            loaded = new LoadedCopy(function, image.contents(), regions.map(estimate.memoryKb()));
            loaded.start(function);
            loadTimes.add(image.fetchNanos(), image.verifyNanos(), System.nanoTime() - startedAt);
            reportLoadEnd(copy, function, LoadEnd.READY, loaded, "");
        } catch (LoadFailedException e) {
            reportLoadEnd(copy, function, LoadEnd.FAILED, null, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception | Error e) { // whatever the package's code does, the memory must be accounted for
            onLoadFailed(copy, function, loaded, e);
        }
    }

    private void onLoadFailed(long copy, String function, LoadedCopy loaded, Throwable cause) {
        boolean released = true;
        if (loaded != null) {
            try {
                released = loaded.release(settings.stopTimeoutMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                released = false;
            }
        }
        reportLoadEnd(
                copy,
                function,
                released ? LoadEnd.FAILED : LoadEnd.FAILED_STUCK,
                released ? null : loaded,
                cause.getMessage());
    }

    private void reportLoadEnd(long copy, String function, LoadEnd end, LoadedCopy loaded, String reason) {
        runOnLoop(() -> {
            if (end != LoadEnd.READY) {
                LOG.warn("load of {} ended as {}: {}", function, end, reason);
            }
            events.log("loaded", "worker", address, "fn", function, "well", end == LoadEnd.READY);
            if (loaded != null) {
                copies.put(copy, loaded);
            }
            scheduler.onLoadCompleted(System.nanoTime(), copy, end);
            if (end == LoadEnd.FAILED_STUCK) {
                releaseLater(copy);
            }
        });
    }

    @Override
    public void startCall(long number, long copy) {
        Call call = calls.get(number);
        LoadedCopy loadedCopy = copies.get(copy);
        call.copy = copy;
        events.log("run", "worker", address, "call", call.headers.id(), "attempt", call.headers.attempt());
        long limitNanos = loadedCopy.manifest().callMillis() * NANOS_PER_MS;
        call.execution = loadedCopy.run(
                call.headers.id(),
                call.headers.attempt(),
                call.body,
                limitNanos,
                (execution, outcome) -> runOnLoop(() -> onCallEnded(number, outcome)),
                execution -> runOnLoop(() -> onThreadReturned(copy)));
        call.limitTimer = loop.schedule(() -> onCallOverLimit(number), limitNanos, TimeUnit.NANOSECONDS);
    }

    private void onCallEnded(long number, LoadedCopy.Outcome outcome) {
        Call call = calls.get(number);
        call.limitTimer.cancel(false); // otherwise thousands of timers with long limits would stay scheduled
        if (outcome.cause() != null) {
            LOG.debug("call {} failed", call.headers.id(), outcome.cause());
        }
        call.output = outcome.output();
        scheduler.onCallCompleted(
                System.nanoTime(),
                number,
                switch (outcome.result()) {
                    case SERVED -> CallEnd.SERVED;
                    case ERROR -> CallEnd.ERROR;
                    case COPY_BROKEN -> CallEnd.COPY_BROKEN;
                });
        calls.remove(number);
    }

    private void onCallOverLimit(long number) {
        Call call = calls.get(number);
        if (call != null && call.execution != null && call.execution.giveUp()) {
            LOG.warn("call {} exceeded its time limit and was given up; its copy is replaced", call.headers.id());
            scheduler.onCallCompleted(System.nanoTime(), number, CallEnd.OVER_LIMIT);
            calls.remove(number);
        }
    }

    private void onThreadReturned(long copy) {
        scheduler.onOverdueThreadReturned(System.nanoTime(), copy);
    }

    @Override
    public void interruptCall(long number) {
        Call call = calls.get(number);
        if (call != null && call.execution != null) {
            call.execution.cancel();
        }
    }

    @Override
    public void completeCall(long number, Answer answer, CopyUse copyUse, int concurrentCalls) {
        Call call = calls.get(number);
        AnswerCode code =
                switch (answer) {
                    case SERVED -> AnswerCode.SERVED;
                    case ERROR -> AnswerCode.ERROR;
                    case FULL -> AnswerCode.FULL;
                    case MISS, MISS_LOAD_FAILED -> AnswerCode.MISS;
                };
        CopyNote note = answer == Answer.MISS_LOAD_FAILED
                ? CopyNote.LOAD_FAILED
                : copyUse == null
                        ? CopyNote.NONE
                        : switch (copyUse) {
                            case ALREADY_LOADED -> CopyNote.FOUND;
                            case COLD_START -> CopyNote.BEGAN;
                            case AWAITED_LOAD -> CopyNote.WAITED;
                        };
        events.log(
                "reply",
                "worker",
                address,
                "call",
                call.headers.id(),
                "attempt",
                call.headers.attempt(),
                "code",
                code.word());
        if (call.execution == null) {
            calls.remove(number);
        }
        call.reply.answer(code, note, Math.min(30, concurrentCalls), call.output == null ? new byte[0] : call.output);
    }

    @Override
    public void completeOrder(long order, OrderAnswer answer, int readyCopies) {
        OrderReply reply = orders.remove(order);
        if (reply != null) {
            reply.answer(
                    switch (answer) {
                        case SERVED -> AnswerCode.SERVED;
                        case FULL -> AnswerCode.FULL;
                        case ERROR -> AnswerCode.ERROR;
                    },
                    readyCopies);
        }
    }

    @Override
    public void unloadCopy(long copy) {
        LoadedCopy stopping = copies.get(copy);
        stopExecutor.execute(() -> {
            boolean released = release(stopping);
            runOnLoop(() -> {
                if (released) {
                    copies.remove(copy);
                    scheduler.onCopyUnloaded(System.nanoTime(), copy);
                } else {
                    LOG.warn(
                            "a copy of {} does not stop; its memory stays counted as not free",
                            stopping.manifest().name());
                    scheduler.onCopyStuck(System.nanoTime(), copy);
                    releaseLater(copy);
                }
            });
        });
    }

    private boolean release(LoadedCopy copy) {
        try {
            return copy.release(settings.stopTimeoutMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Retries to release a stuck copy after a delay, as its thread may still return. */
    private void releaseLater(long copy) {
        loop.schedule(
                () -> {
                    LoadedCopy stuck = copies.get(copy);
                    if (stuck != null && !closed) {
                        stopExecutor.execute(() -> {
                            boolean released = release(stuck);
                            runOnLoop(() -> {
                                if (released) {
                                    copies.remove(copy);
                                    scheduler.onCopyUnloaded(System.nanoTime(), copy);
                                } else {
                                    releaseLater(copy);
                                }
                            });
                        });
                    }
                },
                RELEASE_RETRY_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void onDrained() {
        drainListeners.forEach(Runnable::run);
        drainListeners.clear();
    }

    /** Stops the copies, waiting for them for a limited time, and ends the threads; the event loop must have ended before. */
    @Override
    public void close() throws IOException {
        closed = true;
        loadExecutor.shutdownNow();
        copies.values().forEach(copy -> stopExecutor.execute(() -> release(copy)));
        stopExecutor.shutdown();
        try {
            if (!stopExecutor.awaitTermination(4 * settings.stopTimeoutMillis(), TimeUnit.MILLISECONDS)) {
                stopExecutor.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        regions.close();
        events.close();
    }
}
