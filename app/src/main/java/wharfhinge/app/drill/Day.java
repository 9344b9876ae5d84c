package wharfhinge.app.drill;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoadClients;
import wharfhinge.standin.Net;
import wharfhinge.standin.RosterStandIn;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Scenario.Trouble;
import wharfhinge.standin.StandstillWatch;
import wharfhinge.standin.StoreStandIn;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerModel;
import wharfhinge.standin.WorkerStandIn;
import wharfhinge.standin.judge.Judge;
import wharfhinge.standin.judge.MemoryJudge;

/** Plays a scenario: gateways in processes of their own, everything else in this one; ends with the judge's verdict. */
final class Day implements AutoCloseable {
    private final Scenario scenario;
    private final Path folder;
    private final Trace trace = new Trace(System::nanoTime);
    private final EventLoopGroup group = Net.group(4);
    private final Random random;
    private final ScheduledExecutorService player = Executors.newScheduledThreadPool(8);
    private final List<Member> workers = new ArrayList<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final RosterStandIn roster;
    private final StoreStandIn store;
    private final RealFleet real;
    private final List<String> leftOut = new ArrayList<>();
    private MemoryJudge memory;
    private LoadClients clients;

    Day(Scenario scenario, Mutant mutant, Path folder) throws IOException, InterruptedException {
        this(scenario, mutant, folder, false);
    }

    /** {@code capture} has each gateway capture what its decisions are told, into the folder. */
    Day(Scenario scenario, Mutant mutant, Path folder, boolean capture) throws IOException, InterruptedException {
        this.scenario = scenario;
        this.folder = folder;
        this.random = new Random(scenario.seed());
        roster = new RosterStandIn(group, 0, 0, trace);
        store = new StoreStandIn(
                group, 0, scenario.store().fullPace(), scenario.store().most(), trace);
        real = scenario.workers().real() ? new RealFleet(group, scenario, folder, trace) : null;
        if (real != null) {
            workers.addAll(real.start());
        } else {
            HttpCaller fetches = new HttpCaller(group, store.port());
            for (int i = 0; i < scenario.workers().count(); i++) {
                workers.add(new ScriptedMember(new WorkerStandIn(group, 0, scenario.worker(i, false), fetches, trace)));
            }
        }
        for (int i = 0; i < workers.size(); i++) {
            report(i, State.UP, false);
        }
        FreePorts ports = new FreePorts();
        for (int i = 0; i < scenario.gateways(); i++) {
            int port = ports.take();
            Path config = GatewaySettings.write(folder, scenario, i, port, roster.port(), capture);
            gateways.add(new GatewayProcess("gw" + i, port, config, mutant, trace));
        }
    }

    /** Plays it to its end and judges it. */
    Judge.Verdict play() throws IOException, InterruptedException {
        GatewayProcess.startAll(gateways);
        Thread.sleep(500);
        roster.lag(scenario.roster().lagMillis());
        Map<String, Integer> ports = new LinkedHashMap<>();
        gateways.forEach(g -> ports.put(g.name(), g.port()));
        clients = new LoadClients(group, ports, scenario.offered(), scenario.seed(), trace);
        scenario.troubles().forEach(this::plan);
        MemoryWatch watch = real == null ? null : new MemoryWatch(group, real.processes());
        StandstillWatch standstills = new StandstillWatch(group, trace);
        clients.start(scenario.seconds());
        Thread.sleep((long) (scenario.seconds() * 1000));
        long most = scenario.offered().classes().stream()
                .mapToLong(LoadClients.CallClass::giveUpMillis)
                .max()
                .orElse(0);
        for (long waited = 0; clients.open() > 0 && waited < most + 500; waited += 50) {
            Thread.sleep(50);
        }
        player.shutdownNow();
        Thread.sleep(200);
        standstills.close();
        if (real != null) {
            memory = watch.stop();
            real.stop();
            for (WorkerProcess worker : real.processes()) {
                trace.take(worker.events());
            }
        }
        for (GatewayProcess gateway : gateways) {
            trace.take(gateway.spansNotRun());
        }
        trace.write(folder.resolve("trace.tsv"));
        return Judge.judge(scenario.judged(), trace.lines());
    }

    /** What was found of the workers' books, or null where they are scripted. */
    MemoryJudge memory() {
        return memory;
    }

    /** Troubles that these workers can't be made to suffer. */
    List<String> leftOut() {
        return leftOut;
    }

    /** The gateways' own figures, added up; asked for after the day. */
    Map<String, Long> figures() throws IOException {
        Map<String, Long> all = new LinkedHashMap<>();
        for (GatewayProcess g : gateways) {
            try (InputStream in = URI.create("http://127.0.0.1:" + g.port() + "/v1/status")
                    .toURL()
                    .openStream()) {
                new String(in.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .map(l -> l.split(" "))
                        .forEach(f -> all.merge(f[0], Long.parseLong(f[1]), Long::sum));
            }
        }
        return all;
    }

    private void report(int i, State state, boolean fresh) {
        Member worker = workers.get(i);
        WorkerModel.Spec spec = scenario.worker(i, false);
        long age = fresh ? 0 : 2 * spec.coldMillis();
        roster.report(new RosterEntry(
                worker.id(), spec.zone(), spec.kind(), spec.cell(), state, spec.cores(), age, worker.boot()));
    }

    // ---- Troubles ---------------------------------------------------------------------------

    private interface Step {
        void take() throws IOException, InterruptedException;
    }

    private interface Switch {
        void to(boolean on) throws IOException, InterruptedException;
    }

    private interface Blow {
        void strike(Member member) throws IOException, InterruptedException;
    }

    private static void all(List<Member> members, Blow blow) throws IOException, InterruptedException {
        for (Member member : members) {
            blow.strike(member);
        }
    }

    private void at(double seconds, Step step) {
        player.schedule(
                () -> {
                    try {
                        step.take();
                    } catch (IOException e) {
                        System.err.println("trouble: " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                (long) (seconds * 1000),
                TimeUnit.MILLISECONDS);
    }

    private void during(Trouble t, Step begin, Step end) {
        at(t.at(), begin);
        at(t.at() + t.length(), end);
    }

    /** Workers that a trouble befalls, drawn by the scenario's seed. */
    private List<Integer> some(Trouble t) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) {
            all.add(i);
        }
        Collections.shuffle(all, random);
        return all.subList(0, Math.min(all.size(), (int) Math.ceil(t.part() * all.size())));
    }

    private void plan(Trouble t) {
        List<Member> some = some(t).stream().map(workers::get).toList();
        if (real != null && !workers.get(0).suffers(t.name())) {
            leftOut.add(t.name());
            return;
        }
        switch (t.name()) {
            case "hang" -> during(t, () -> all(some, m -> m.hang(true)), () -> all(some, m -> m.hang(false)));
            case "fast_errors" -> during(
                    t, () -> all(some, m -> m.errors(t.size())), () -> all(some, m -> m.errors(0)));
            case "answer_lost" -> during(
                    t,
                    () -> all(some, m -> m.loseAnswers(t.size(), t.extra() > 0)),
                    () -> all(some, m -> m.loseAnswers(0, false)));
            case "slow" -> during(t, () -> all(some, m -> m.slower(t.size())), () -> all(some, m -> m.slower(1)));
            case "neighbour" -> onAndOff(t, on -> all(some, m -> m.slower(on ? 1 / (1 - t.size()) : 1)));
            case "pauses" -> onAndOff(t, on -> {
                if (on) {
                    all(some, m -> m.pause((long) t.size()));
                }
            });
            case "handshake_slow" -> during(
                    t,
                    () -> all(some, m -> m.slowHandshakes((long) t.size())),
                    () -> all(some, m -> m.slowHandshakes(0)));
            case "flush" -> at(t.at(), () -> all(workers, m -> m.flush(t.size())));
            case "burst", "overload" -> during(t, () -> clients.rate(t.size()), () -> clients.rate(1));
            case "hot_key" -> during(t, () -> clients.hot(t.size(), (int) t.extra()), () -> clients.hot(0, 1));
            case "scan" -> during(t, () -> clients.scan(t.size()), () -> clients.scan(0));
            case "heavy_tail" -> during(t, () -> clients.heavy(t.part(), t.size()), () -> clients.heavy(0, 1));
            case "give_up" -> during(t, () -> clients.leave(t.size()), () -> clients.leave(0));
            case "shift" -> at(t.at(), () -> clients.shift(t.size()));
            case "discovery_stale" -> during(
                    t,
                    () -> roster.lag(scenario.roster().lagMillis() + (long) (t.size() * 1000)),
                    () -> roster.lag(scenario.roster().lagMillis()));
            case "roster_lost" -> during(t, () -> roster.lost(true), () -> roster.lost(false));
            case "roster_silent" -> during(t, () -> roster.mute(true), () -> roster.mute(false));
            case "store_shut" -> during(t, () -> shut(true), () -> shut(false));
            case "drain" -> some(t).forEach(i -> drain(t, i));
            case "restart" -> some(t).forEach(i -> restart(t.at(), t.length(), i));
            case "balancer_roll" -> roll(t);
            case "balancer_stall" -> gateways.stream()
                    .limit((long) Math.ceil(t.part() * gateways.size()))
                    .forEach(g -> during(t, () -> g.stall(true), () -> g.stall(false)));
            default -> throw new IllegalArgumentException("unknown trouble " + t.name());
        }
    }

    private void onAndOff(Trouble t, Switch set) {
        boolean on = true;
        for (double s = 0; s < t.length(); s += t.extra()) {
            boolean now = on;
            at(t.at() + s, () -> set.to(now));
            on = !on;
        }
        at(t.at() + t.length(), () -> set.to(false));
    }

    private void shut(boolean now) {
        if (real != null) {
            real.shut(now);
        } else {
            store.shut(now);
        }
    }

    private void drain(Trouble t, int i) {
        at(t.at(), () -> report(i, State.DRAINING, false));
        restart(t.at() + t.length(), t.extra(), i);
    }

    private void restart(double at, double down, int i) {
        at(at, () -> {
            workers.get(i).kill();
            report(i, State.GONE, false);
        });
        at(at + down, () -> {
            workers.get(i).restart();
            report(i, State.UP, true);
        });
    }

    private void roll(Trouble t) {
        int each = 0;
        for (GatewayProcess g : gateways.subList(0, (int) Math.ceil(t.part() * gateways.size()))) {
            at(t.at() + each++ * t.length(), () -> {
                g.kill();
                Thread.sleep((long) (t.size() * 1000));
                g.start();
            });
        }
    }

    @Override
    public void close() throws InterruptedException {
        player.shutdownNow();
        if (clients != null) {
            clients.close();
        }
        GatewayProcess.stopAll(gateways);
        for (Member worker : workers) {
            worker.close();
        }
        if (real != null) {
            real.close();
        }
        roster.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2000);
    }
}
