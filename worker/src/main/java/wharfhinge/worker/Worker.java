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
 * A worker without its sockets: does what {@link CopyScheduler} decide, on one event loop; loads, stops and calls run on
 * threads of their own and tell the loop how they went. What waits is bounded by the decisions.
 */
final class Worker implements CopyScheduler.Actions, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Worker.class);
    private static final long MS = 1_000_000L;
    private static final int AGAIN_MS = 200;
    private static final int LEAK_ROUNDS = 5;

    /** Where a call's answer goes; on the loop. */
    interface Reply {
        void answer(AnswerCode code, CopyNote note, int company, byte[] body);
    }

    /** Where an order's answer goes; on the loop. */
    interface OrderReply {
        void answer(AnswerCode code, int ready);
    }

    private static final class Call {
        private final WorkerCall head;
        private final byte[] body;
        private final Reply reply;
        private long copy;
        private LoadedCopy.Running running;
        private Future<?> limit;
        private byte[] output;

        Call(WorkerCall head, byte[] body, Reply reply) {
            this.head = head;
            this.body = body;
            this.reply = reply;
        }
    }

    private final EventLoop loop;
    private final WorkerSettings settings;
    private final EventLog events;
    private final CopyScheduler decisions;
    private final Regions regions;
    private final Images images;
    private final ProcessMemory process = new ProcessMemory();
    private final ExecutorService loaders;
    private final ExecutorService stoppers = Executors.newCachedThreadPool(threads("stop"));
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<Long, OrderReply> orders = new HashMap<>();
    private final Map<Long, LoadedCopy> copies = new HashMap<>();
    private final List<Runnable> whenDrained = new ArrayList<>();
    private final LoadTimes loadTimes = new LoadTimes();
    private String id = "-";
    private long next = 1;
    private int rounds;
    private String report = "";
    private volatile boolean closed;

    /** A worker that holds nothing; {@code base} is what paths in the settings are relative to. */
    Worker(WorkerSettings settings, Path base, EventLoop loop, EventLog events) throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.events = events;
        this.decisions = new CopyScheduler(settings.copies(), this);
        this.loaders = Executors.newFixedThreadPool(settings.loadsAtOnce(), threads("load"));
        Path folder = base.resolve(settings.imagesFolder());
        List<PublicKey> trusted = new ArrayList<>();
        for (String file : settings.keyFiles()) {
            trusted.add(Keys.publicKey(base.resolve(file)));
        }
        this.images = new Images(
                new ImageCache(folder, settings.imagesBytes()),
                settings.storeUrl(),
                trusted,
                settings.fetchNanos(),
                settings.freshNanos());
        this.regions = new Regions(folder);
        refresh();
        loop.scheduleAtFixedRate(
                this::refresh, settings.refreshMillis(), settings.refreshMillis(), TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory threads(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + '-' + number.getAndIncrement());
            thread.setDaemon(true);
            return thread;
        };
    }

    /** What it is called in the event log. */
    void named(String address) {
        id = address;
    }

    // ---- From the sockets, on the loop ------------------------------------------------------

    /** A call; the number is for {@link #cancel}. */
    long call(String function, WorkerCall head, byte[] body, Reply reply) {
        long number = next++;
        long now = System.nanoTime();
        calls.put(number, new Call(head, body, reply));
        events.note(
                "recv",
                "worker",
                id,
                "call",
                head.id(),
                "attempt",
                head.attempt(),
                "gw",
                head.gateway(),
                "class",
                head.requestClass(),
                "fn",
                function,
                "work_us",
                head.costUs());
        decisions.onCall(now, number, function, head.hint(), now + head.waitMillis() * MS);
        return number;
    }

    /** Nobody waits for a call any more. */
    void cancel(long number) {
        Call call = calls.get(number);
        if (call != null) {
            events.note("cancelled", "worker", id, "call", call.head.id(), "attempt", call.head.attempt());
            boolean waits = call.running == null;
            decisions.onCallCancelled(System.nanoTime(), number);
            if (waits) {
                calls.remove(number);
            }
        }
    }

    /** An order to hold copies. */
    long hold(String function, int count, WorkerCall head, OrderReply reply) {
        long number = next++;
        orders.put(number, reply);
        events.note("hold", "worker", id, "fn", function, "count", count, "gw", head.gateway());
        decisions.onLoadOrder(System.nanoTime(), number, function, count, head.hint());
        return number;
    }

    /** Nobody waits for an order any more. */
    void cancelOrder(long number) {
        if (orders.remove(number) != null) {
            decisions.onLoadOrderCancelled(System.nanoTime(), number);
        }
    }

    /** Idle copies of a function go. */
    void unload(String function, WorkerCall head) {
        events.note("unload", "worker", id, "fn", function, "gw", head.gateway());
        decisions.onUnloadOrder(System.nanoTime(), function);
    }

    /** Takes nothing new; tells once all is answered. */
    void drain(Runnable drained) {
        whenDrained.add(drained);
        decisions.onDrain(System.nanoTime());
    }

    /** The report of the last refresh, as answers carry it. */
    String report() {
        return report;
    }

    /** The books as they are now, in KiB, by name. */
    Map<String, Long> books() {
        MemoryAccounting l = decisions.memory();
        Map<String, Long> books = new LinkedHashMap<>();
        books.put("total_kb", l.totalKb());
        books.put("free_kb", l.freeKb());
        for (Part part : Part.values()) {
            books.put(part.name().toLowerCase(java.util.Locale.ROOT) + "_kb", l.bookedKb(part));
        }
        books.put("leaked_kb", l.leakedKb());
        books.put("resident_kb", regions.residentKb());
        books.put("copies", (long) decisions.copyCount());
        books.put("calls_held", (long) decisions.callsInFlight());
        books.put("loads", (long) decisions.pendingLoads());
        loadTimes.into(books);
        return books;
    }

    private void onLoop(Runnable what) {
        try {
            loop.execute(what);
        } catch (RejectedExecutionException e) {
            LOG.debug("told after the end", e);
        }
    }

    private void refresh() {
        long now = System.nanoTime();
        decisions.onTick(now);
        if (rounds++ % LEAK_ROUNDS == 0) {
            decisions.onLeakMeasured(
                    now,
                    ProcessMemory.leakedKb(
                            process.residentKb(),
                            process.mappedKb(),
                            regions.residentKb(),
                            regions.mappedKb(),
                            settings.ownKb()));
        }
        Map<String, Double> fresh = new LinkedHashMap<>();
        fresh.put("rif", (double) decisions.callsInFlight());
        fresh.put("x0", decisions.memory().busyShare());
        fresh.put("q", (double) decisions.queuedCalls());
        fresh.put("x1", (double) decisions.pendingLoads());
        report = LoadReport.format(fresh);
    }

    // ---- Decisions' actions, on the loop ----------------------------------------------------

    @Override
    public void startLoad(long copy, String function, long bookedKb) {
        loaders.execute(() -> loadNow(copy, function));
    }

    /** On a loader's thread. */
    private void loadNow(long copy, String function) {
        LoadedCopy made = null;
        try {
            Images.Image image = images.get(function);
            long began = System.nanoTime();
            MemoryEstimate figures = new MemoryEstimate(
                    image.contents().manifest().memoryMb() * 1024L,
                    image.contents().manifest().lanes());
            boolean fits = loop.submit(() -> decisions.onMemoryMeasured(System.nanoTime(), copy, figures))
                    .get();
            if (!fits) {
                tell(copy, function, LoadEnd.NEEDS_MORE_MEMORY, null, "needs " + figures.memoryKb() + " KiB");
                return;
            }
            made = new LoadedCopy(function, image.contents(), regions.map(figures.memoryKb()));
            made.start(function);
            loadTimes.add(image.fetchNanos(), image.verifyNanos(), System.nanoTime() - began);
            tell(copy, function, LoadEnd.READY, made, "");
        } catch (LoadFailedException e) {
            tell(copy, function, LoadEnd.FAILED, null, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception | Error e) { // whatever the package's code did, the books are kept
            failed(copy, function, made, e);
        }
    }

    private void failed(long copy, String function, LoadedCopy made, Throwable cause) {
        boolean released = true;
        if (made != null) {
            try {
                released = made.release(settings.stopMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                released = false;
            }
        }
        tell(
                copy,
                function,
                released ? LoadEnd.FAILED : LoadEnd.FAILED_STUCK,
                released ? null : made,
                cause.getMessage());
    }

    private void tell(long copy, String function, LoadEnd how, LoadedCopy made, String why) {
        onLoop(() -> {
            if (how != LoadEnd.READY) {
                LOG.warn("load of {} ended as {}: {}", function, how, why);
            }
            events.note("loaded", "worker", id, "fn", function, "well", how == LoadEnd.READY);
            if (made != null) {
                copies.put(copy, made);
            }
            decisions.onLoadCompleted(System.nanoTime(), copy, how);
            if (how == LoadEnd.FAILED_STUCK) {
                releaseLater(copy);
            }
        });
    }

    @Override
    public void startCall(long number, long copy) {
        Call call = calls.get(number);
        LoadedCopy on = copies.get(copy);
        call.copy = copy;
        events.note("run", "worker", id, "call", call.head.id(), "attempt", call.head.attempt());
        long limit = on.manifest().callMillis() * MS;
        call.running = on.run(
                call.head.id(),
                call.head.attempt(),
                call.body,
                limit,
                (running, outcome) -> onLoop(() -> ended(number, outcome)),
                running -> onLoop(() -> back(copy)));
        call.limit = loop.schedule(() -> overLimit(number), limit, TimeUnit.NANOSECONDS);
    }

    private void ended(long number, LoadedCopy.Outcome outcome) {
        Call call = calls.get(number);
        call.limit.cancel(false); // else thousands would wait for limits that are far
        if (outcome.cause() != null) {
            LOG.debug("call {} failed", call.head.id(), outcome.cause());
        }
        call.output = outcome.output();
        decisions.onCallCompleted(
                System.nanoTime(),
                number,
                switch (outcome.how()) {
                    case SERVED -> CallEnd.SERVED;
                    case ERROR -> CallEnd.ERROR;
                    case BROKE -> CallEnd.COPY_BROKEN;
                });
        calls.remove(number);
    }

    private void overLimit(long number) {
        Call call = calls.get(number);
        if (call != null && call.running != null && call.running.giveUp()) {
            LOG.warn("call {} is over its limit and given up, its copy is replaced", call.head.id());
            decisions.onCallCompleted(System.nanoTime(), number, CallEnd.OVER_LIMIT);
            calls.remove(number);
        }
    }

    private void back(long copy) {
        decisions.onOverdueThreadReturned(System.nanoTime(), copy);
    }

    @Override
    public void interruptCall(long number) {
        Call call = calls.get(number);
        if (call != null && call.running != null) {
            call.running.cancel();
        }
    }

    @Override
    public void completeCall(long number, Answer answer, CopyUse met, int company) {
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
                : met == null
                        ? CopyNote.NONE
                        : switch (met) {
                            case ALREADY_LOADED -> CopyNote.FOUND;
                            case COLD_START -> CopyNote.BEGAN;
                            case AWAITED_LOAD -> CopyNote.WAITED;
                        };
        events.note("reply", "worker", id, "call", call.head.id(), "attempt", call.head.attempt(), "code", code.word());
        if (call.running == null) {
            calls.remove(number);
        }
        call.reply.answer(code, note, Math.min(30, company), call.output == null ? new byte[0] : call.output);
    }

    @Override
    public void completeOrder(long order, OrderAnswer answer, int ready) {
        OrderReply reply = orders.remove(order);
        if (reply != null) {
            reply.answer(
                    switch (answer) {
                        case SERVED -> AnswerCode.SERVED;
                        case FULL -> AnswerCode.FULL;
                        case ERROR -> AnswerCode.ERROR;
                    },
                    ready);
        }
    }

    @Override
    public void unloadCopy(long copy) {
        LoadedCopy stopping = copies.get(copy);
        stoppers.execute(() -> {
            boolean released = release(stopping);
            onLoop(() -> {
                if (released) {
                    copies.remove(copy);
                    decisions.onCopyUnloaded(System.nanoTime(), copy);
                } else {
                    LOG.warn(
                            "a copy of {} does not stop; its memory stays counted as not free",
                            stopping.manifest().name());
                    decisions.onCopyStuck(System.nanoTime(), copy);
                    releaseLater(copy);
                }
            });
        });
    }

    private boolean release(LoadedCopy copy) {
        try {
            return copy.release(settings.stopMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** A stuck copy is asked again, for its thread may come back after all. */
    private void releaseLater(long copy) {
        loop.schedule(
                () -> {
                    LoadedCopy stuck = copies.get(copy);
                    if (stuck != null && !closed) {
                        stoppers.execute(() -> {
                            boolean released = release(stuck);
                            onLoop(() -> {
                                if (released) {
                                    copies.remove(copy);
                                    decisions.onCopyUnloaded(System.nanoTime(), copy);
                                } else {
                                    releaseLater(copy);
                                }
                            });
                        });
                    }
                },
                AGAIN_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void onDrained() {
        whenDrained.forEach(Runnable::run);
        whenDrained.clear();
    }

    /** Stops its copies, as far as they stop in their time, and ends its threads; the loop must have ended. */
    @Override
    public void close() throws IOException {
        closed = true;
        loaders.shutdownNow();
        copies.values().forEach(copy -> stoppers.execute(() -> release(copy)));
        stoppers.shutdown();
        try {
            if (!stoppers.awaitTermination(4 * settings.stopMillis(), TimeUnit.MILLISECONDS)) {
                stoppers.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        regions.close();
        events.close();
    }
}
