package wharfhinge.decisions.copies;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/**
 * The decisions on all copies of one worker: a call runs on a copy with a free lane, waits, begins a load, is a miss, or is
 * turned away; idle copies go when memory is wanted. Told events and time in nanoseconds, answers with {@link Actions},
 * which may not call back in. One thread.
 *
 * <p>A load is admitted once what is free, what is leaving and what may be evicted cover it beside all admitted before;
 * it begins once its memory is really free and fewer than the allowed loads run, first come first served. So memory that
 * suffices for either of two loads but not both goes to the first, and the second is turned away at once.
 *
 * <p>Bounds: calls waiting, loads in line, loads at once; beyond them the answer is {@code full}. Figures that packages told
 * are remembered for {@value #REMEMBERED} functions, those asked for longest ago are forgotten first.
 */
public final class CopyScheduler {
    private static final int REMEMBERED = 4096;

    /** How a call is answered. */
    public enum Answer {
        SERVED,
        ERROR,
        FULL,
        MISS,
        MISS_LOAD_FAILED
    }

    /** What copy a call met. */
    public enum Met {
        FOUND,
        BEGAN,
        WAITED
    }

    /** How an order is answered. */
    public enum OrderAnswer {
        SERVED,
        FULL,
        ERROR
    }

    /** How a call ended in its copy. */
    public enum CallEnd {
        /** With an answer. */
        SERVED,
        /** With an error that says nothing against the copy. */
        ERROR,
        /** With an error after which the copy is not to be trusted. */
        BROKE,
        /** Not at all: it is over its limit, and its thread is still in the copy. */
        OVER_LIMIT
    }

    /** How a load ended. */
    public enum LoadEnd {
        /** The copy stands. */
        READY,
        /** It failed and its memory was given back. */
        FAILED,
        /** It failed and something of it does not end. */
        FAILED_STUCK,
        /** The package needs more than was booked; what it needs was told by {@link CopyScheduler#measured}. */
        MISJUDGED
    }

    /** What becomes of decisions. */
    public interface Actions {
        /** Begins a load for which so much is booked. */
        void load(long copy, String function, long bookedKb);

        /** Runs a call. */
        void run(long call, long copy);

        /** Asks the code that runs a cancelled call to end. */
        void interrupt(long call);

        /** Answers a call; {@code met} is null where no copy ran it. */
        void answer(long call, Answer answer, Met met, int company);

        /** Answers an order with how many copies stand ready. */
        void answerOrder(long order, OrderAnswer answer, int ready);

        /** Gives an idle copy's memory back; {@link CopyScheduler#stopped} or {@link CopyScheduler#hung} follows. */
        void stop(long copy);

        /** It drains and holds nothing any more. */
        void drained();
    }

    private enum State {
        LINED,
        LOADING,
        READY,
        LEAVING,
        STUCK
    }

    private static final class Copy {
        private final long id;
        private final Fn fn;
        private long kb;
        private int lanes = 1;
        private State state = State.LINED;
        private boolean spoiled; // takes no more calls
        private boolean ordered;
        private int running;
        private int overdue; // threads of calls given up on that are still in it
        private long idleSince;

        Copy(long id, Fn fn, long kb) {
            this.id = id;
            this.fn = fn;
            this.kb = kb;
        }

        boolean live() {
            return !spoiled && state != State.LEAVING && state != State.STUCK;
        }

        boolean ready() {
            return !spoiled && state == State.READY;
        }
    }

    private static final class Call {
        private final long id;
        private final Fn fn;
        private final long until;
        private final int company;
        private Met met;
        private Copy copy;
        private boolean cancelled;

        Call(long id, Fn fn, long until, int company) {
            this.id = id;
            this.fn = fn;
            this.until = until;
            this.company = company;
        }
    }

    private static final class Order {
        private final long id;
        private final int wanted;
        private final boolean partly; // not all that was asked for could be admitted

        Order(long id, int wanted, boolean partly) {
            this.id = id;
            this.wanted = wanted;
            this.partly = partly;
        }
    }

    /** What is held of one function. */
    private static final class Fn {
        private final String name;
        private final List<Copy> copies = new ArrayList<>();
        private final Map<Long, Call> waiting = new LinkedHashMap<>();
        private final List<Order> orders = new ArrayList<>();
        private int running;

        Fn(String name) {
            this.name = name;
        }

        boolean empty() {
            return copies.isEmpty() && waiting.isEmpty() && orders.isEmpty();
        }

        int ready() {
            return (int) copies.stream().filter(Copy::ready).count();
        }

        boolean any(State a, State b) {
            return copies.stream().anyMatch(c -> !c.spoiled && (c.state == a || c.state == b));
        }

        boolean live() {
            return copies.stream().anyMatch(Copy::live);
        }
    }

    private final CopySettings settings;
    private final Actions actions;
    private final MemoryAccounting ledger;
    private final Map<String, Fn> functions = new LinkedHashMap<>();
    private final Map<Long, Copy> copies = new LinkedHashMap<>();
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private final Map<Long, Fn> orders = new LinkedHashMap<>();
    private final ArrayDeque<Copy> line = new ArrayDeque<>();
    private final Map<String, MemoryEstimate> told = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, MemoryEstimate> eldest) {
            return size() > REMEMBERED;
        }
    };
    private long nextCopy = 1;
    private long lined;
    private int loading;
    private int waiting;
    private int running;
    private boolean draining;
    private boolean drained;

    /** Decisions of a worker that holds nothing. */
    public CopyScheduler(CopySettings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.ledger = new MemoryAccounting(settings.totalKb());
    }

    // ---- What is read -----------------------------------------------------------------------

    /** The books; not to be changed. */
    public MemoryAccounting ledger() {
        return ledger;
    }

    /** Calls held, running and waiting. */
    public int held() {
        return running + waiting;
    }

    /** Calls waiting. */
    public int waiting() {
        return waiting;
    }

    /** Loads under way or in line. */
    public int loads() {
        return loading + line.size();
    }

    /** Copies in the books or in line. */
    public int copies() {
        return copies.size();
    }

    /** Whether it takes nothing new. */
    public boolean draining() {
        return draining;
    }

    // ---- Calls ------------------------------------------------------------------------------

    /**
     * A call came.
     *
     * @param hint  what the caller told of the function, used until a package tells
     * @param until when its caller stops waiting; a call that still waits then is turned away
     */
    public void call(long now, long id, String function, MemoryEstimate hint, long until) {
        if (draining) {
            actions.answer(id, Answer.FULL, null, 0);
            return;
        }
        Fn fn = fn(function);
        Call call = new Call(id, fn, until, fn.running + fn.waiting.size());
        Copy free = freeLane(fn);
        if (free != null) {
            call.met = Met.FOUND;
            run(call, free);
            return;
        }
        boolean none = !fn.live();
        if (none && !settings.loadsOnCall()) {
            actions.answer(id, Answer.MISS, null, call.company);
        } else if (waiting >= settings.queue()) {
            actions.answer(id, Answer.FULL, null, call.company);
        } else {
            boolean coming = fn.any(State.LINED, State.LOADING);
            call.met = none ? Met.BEGAN : coming ? Met.WAITED : Met.FOUND;
            boolean wanted = none || settings.loadsOnCall() && settings.ownFurther() && !coming;
            boolean admitted = wanted && admit(fn, hint, false);
            if (none && !admitted) {
                actions.answer(id, Answer.FULL, null, call.company);
            } else {
                fn.waiting.put(id, call);
                calls.put(id, call);
                waiting++;
            }
            nextLoads();
        }
        forget(fn);
    }

    /** A call's caller went away: one that waits is dropped, one that runs is asked to end. */
    public void cancelled(long now, long id) {
        Call call = calls.get(id);
        if (call == null || call.cancelled) {
            return;
        }
        call.cancelled = true;
        if (call.copy != null) {
            actions.interrupt(id);
            return;
        }
        unqueue(call);
        dropUnwanted(call.fn);
        settle();
    }

    /** A call's run ended, or is given up on. */
    public void callEnded(long now, long id, CallEnd how) {
        Call call = calls.remove(id);
        if (call == null) {
            return;
        }
        Copy copy = call.copy;
        copy.running--;
        copy.fn.running--;
        running--;
        if (how == CallEnd.OVER_LIMIT) {
            copy.overdue++;
        }
        if (how == CallEnd.OVER_LIMIT || how == CallEnd.BROKE) {
            copy.spoiled = true;
        }
        if (!call.cancelled) {
            actions.answer(
                    id,
                    how == CallEnd.SERVED ? Answer.SERVED : Answer.ERROR,
                    how == CallEnd.SERVED ? call.met : null,
                    call.company);
        }
        rest(now, copy);
        serve(now, copy.fn);
        if (copy.spoiled && !draining) {
            replace(copy.fn);
        }
        settle();
    }

    /** The thread of a call that was given up on came back. */
    public void threadBack(long now, long id) {
        Copy copy = copies.get(id);
        if (copy == null) {
            return;
        }
        copy.overdue--;
        rest(now, copy);
        settle();
    }

    /** What is next for a copy that runs one call less. */
    private void rest(long now, Copy copy) {
        if (copy.running > 0) {
            return;
        }
        if (copy.spoiled && copy.overdue > 0) {
            copy.state = State.STUCK;
            ledger.move(copy.id, Part.STUCK);
        } else if (copy.spoiled) {
            leave(copy);
        } else {
            copy.idleSince = now;
            ledger.move(copy.id, Part.IDLE);
        }
    }

    private void run(Call call, Copy copy) {
        call.copy = copy;
        calls.put(call.id, call);
        copy.running++;
        copy.fn.running++;
        running++;
        ledger.move(copy.id, Part.WORKING);
        actions.run(call.id, copy.id);
    }

    private static Copy freeLane(Fn fn) {
        for (Copy c : fn.copies) { // the eldest first, so that the others can go idle
            if (c.ready() && c.running < c.lanes) {
                return c;
            }
        }
        return null;
    }

    private void serve(long now, Fn fn) {
        Copy free = freeLane(fn);
        while (free != null && !fn.waiting.isEmpty()) {
            Call call = fn.waiting.values().iterator().next();
            unqueue(call);
            if (call.until < now) {
                actions.answer(call.id, Answer.FULL, null, call.company);
            } else {
                run(call, free);
            }
            free = freeLane(fn);
        }
    }

    private void unqueue(Call call) {
        call.fn.waiting.remove(call.id);
        calls.remove(call.id);
        waiting--;
    }

    /** A copy was lost: where calls wait it is loaded anew at others' cost, else only where there is room. */
    private void replace(Fn fn) {
        if (fn.live() && fn.waiting.isEmpty()) {
            return;
        }
        boolean room = ledger.free() + ledger.in(Part.LEAVING) - lined >= needed(fn, MemoryEstimate.UNKNOWN);
        boolean comes = !fn.any(State.LINED, State.LOADING)
                && (room || !fn.waiting.isEmpty())
                && admit(fn, MemoryEstimate.UNKNOWN, false);
        if (!comes && !fn.live()) {
            turnAway(fn, Answer.FULL);
        }
    }

    private void turnAway(Fn fn, Answer answer) {
        for (Call call : List.copyOf(fn.waiting.values())) {
            unqueue(call);
            actions.answer(call.id, answer, null, call.company);
        }
    }

    // ---- Orders -----------------------------------------------------------------------------

    /** An order to hold so many copies; 0 only asks. Idle copies of the function begin their idle time anew. */
    public void hold(long now, long id, String function, int count, MemoryEstimate hint) {
        Fn fn = fn(function);
        fn.copies.stream().filter(c -> c.ready() && c.running == 0).forEach(c -> c.idleSince = now);
        int missing = count - (int) fn.copies.stream().filter(Copy::live).count();
        boolean all = !draining;
        for (int i = 0; i < missing && all; i++) {
            all = admit(fn, hint, true);
        }
        int live = (int) fn.copies.stream().filter(Copy::live).count();
        int wanted = draining ? 0 : Math.min(count, live);
        Order order = new Order(id, wanted, count > wanted);
        if (!answered(fn, order)) {
            fn.orders.add(order);
            orders.put(id, fn);
            fn.copies.stream().filter(Copy::live).forEach(c -> c.ordered = true);
        }
        nextLoads();
        forget(fn);
    }

    /** Nobody waits for an order any more: its loads that have not begun are left out, unless calls want them. */
    public void orderCancelled(long now, long id) {
        Fn fn = orders.remove(id);
        if (fn != null) {
            fn.orders.removeIf(o -> o.id == id);
            dropUnwanted(fn);
            settle();
        }
    }

    /** Unloads a function's idle copies. One at work, or with calls waiting for it, is not idle. */
    public void unload(long now, String function) {
        Fn fn = functions.get(function);
        if (fn != null) {
            for (Copy c : List.copyOf(fn.copies)) {
                if (c.ready() && c.running == 0) {
                    leave(c);
                }
            }
            settle();
        }
    }

    private boolean answered(Fn fn, Order order) {
        int ready = fn.ready();
        if (ready < order.wanted) {
            return false;
        }
        actions.answerOrder(order.id, order.partly ? OrderAnswer.FULL : OrderAnswer.SERVED, ready);
        return true;
    }

    private void settleOrders(Fn fn, boolean failed) {
        for (Iterator<Order> i = fn.orders.iterator(); i.hasNext(); ) {
            Order order = i.next();
            boolean over = answered(fn, order);
            if (!over && failed) {
                actions.answerOrder(order.id, OrderAnswer.ERROR, fn.ready());
                over = true;
            }
            if (over) {
                i.remove();
                orders.remove(order.id);
            }
        }
    }

    // ---- Loads ------------------------------------------------------------------------------

    /**
     * A package told what its copies need. False where the booked memory does not suffice and no more is to be had now: then
     * the load is to end as {@link LoadEnd#MISJUDGED}.
     */
    public boolean measured(long now, long id, MemoryEstimate figures) {
        Copy copy = copies.get(id);
        told.put(copy.fn.name, figures);
        copy.lanes = Math.max(1, figures.lanes());
        long more = figures.kb() - copy.kb;
        if (more > 0 && ledger.free() - lined < more || !ledger.resize(id, figures.kb())) {
            return false;
        }
        copy.kb = figures.kb();
        settle();
        return true;
    }

    /** A load ended. */
    public void loadEnded(long now, long id, LoadEnd how) {
        Copy copy = copies.get(id);
        Fn fn = copy.fn;
        loading--;
        if (how == LoadEnd.READY) {
            copy.state = State.READY;
            copy.idleSince = now;
            ledger.move(id, Part.IDLE);
            serve(now, fn);
            settleOrders(fn, false);
        } else {
            if (how == LoadEnd.FAILED_STUCK) {
                copy.state = State.STUCK;
                copy.spoiled = true;
                ledger.move(id, Part.STUCK);
            } else {
                ledger.remove(id);
                gone(copy);
            }
            boolean wanted = !draining && (!fn.waiting.isEmpty() || copy.ordered);
            boolean again = how == LoadEnd.MISJUDGED && wanted && admit(fn, MemoryEstimate.UNKNOWN, copy.ordered);
            if (!again) {
                if (!fn.live()) {
                    turnAway(fn, how == LoadEnd.MISJUDGED ? Answer.FULL : Answer.MISS_LOAD_FAILED);
                }
                settleOrders(fn, true);
            }
        }
        settle();
    }

    /** A copy that was told to stop is gone and its memory free. */
    public void stopped(long now, long id) {
        Copy copy = copies.get(id);
        if (copy != null) {
            ledger.remove(id);
            gone(copy);
            settle();
        }
    }

    /** A copy that was told to stop does not: its memory can't be freed until {@link #stopped} is told after all. */
    public void hung(long now, long id) {
        Copy copy = copies.get(id);
        if (copy != null) {
            copy.state = State.STUCK;
            copy.spoiled = true;
            ledger.move(id, Part.STUCK);
            settle();
        }
    }

    /** The process holds so much more than the books say. */
    public void leaked(long now, long kb) {
        ledger.leaked(kb);
        settle();
    }

    private long needed(Fn fn, MemoryEstimate hint) {
        MemoryEstimate known = told.get(fn.name);
        long kb = known != null ? known.kb() : hint.kb();
        return kb > 0 ? kb : settings.usualKb();
    }

    private boolean admit(Fn fn, MemoryEstimate hint, boolean ordered) {
        long kb = needed(fn, hint);
        if (line.size() >= settings.loadLine()) {
            return false;
        }
        List<Long> victims = Evictions.choose(idle(), kb + lined - ledger.free() - ledger.in(Part.LEAVING));
        if (victims == null) {
            return false;
        }
        victims.forEach(v -> leave(copies.get(v)));
        Copy copy = new Copy(nextCopy++, fn, kb);
        copy.ordered = ordered;
        copies.put(copy.id, copy);
        fn.copies.add(copy);
        line.add(copy);
        lined += kb;
        return true;
    }

    private List<Evictions.Idle> idle() {
        List<Evictions.Idle> idle = new ArrayList<>();
        for (Copy c : copies.values()) {
            if (c.ready() && c.running == 0) {
                idle.add(new Evictions.Idle(c.id, c.kb, c.idleSince));
            }
        }
        return idle;
    }

    /** Begins loads in the order in which they were admitted; one whose memory was lost to a stuck copy is turned away. */
    private void nextLoads() {
        while (!line.isEmpty()) {
            Copy next = line.peek();
            if (ledger.free() >= next.kb && loading < settings.loadsAtOnce()) {
                unline(next);
                loading++;
                next.state = State.LOADING;
                ledger.book(next.id, next.kb, Part.LOADING);
                actions.load(next.id, next.fn.name, next.kb);
            } else if (ledger.free() < next.kb && ledger.in(Part.LEAVING) == 0 && !makeRoom(next.kb)) {
                unline(next);
                gone(next);
                if (!next.fn.live()) {
                    turnAway(next.fn, Answer.FULL);
                }
                settleOrders(next.fn, true);
                forget(next.fn);
            } else {
                return;
            }
        }
    }

    private boolean makeRoom(long kb) {
        List<Long> victims = Evictions.choose(idle(), kb - ledger.free());
        if (victims == null || victims.isEmpty()) {
            return false;
        }
        victims.forEach(v -> leave(copies.get(v)));
        return true;
    }

    private void unline(Copy copy) {
        line.remove(copy);
        lined -= copy.kb;
    }

    private void dropUnwanted(Fn fn) {
        if (fn.waiting.isEmpty() && fn.orders.isEmpty()) {
            for (Copy c : List.copyOf(fn.copies)) {
                if (c.state == State.LINED) {
                    unline(c);
                    gone(c);
                }
            }
        }
    }

    private void leave(Copy copy) {
        copy.state = State.LEAVING;
        ledger.move(copy.id, Part.LEAVING);
        actions.stop(copy.id);
    }

    private void gone(Copy copy) {
        copies.remove(copy.id);
        copy.fn.copies.remove(copy);
        forget(copy.fn);
    }

    // ---- Time and life ----------------------------------------------------------------------

    /** Called at a steady pace: idle copies past their time go, calls whose callers stopped waiting are turned away. */
    public void tick(long now) {
        for (Copy c : List.copyOf(copies.values())) {
            if (c.ready() && c.running == 0 && now - c.idleSince > settings.keepNanos()) {
                leave(c);
            }
        }
        for (Call call : List.copyOf(calls.values())) {
            if (call.copy == null && call.until < now) {
                unqueue(call);
                actions.answer(call.id, Answer.FULL, null, call.company);
                dropUnwanted(call.fn);
            }
        }
        settle();
    }

    /** Takes nothing new from now on; what is held is finished, and loads that only orders wanted are left out. */
    public void drain(long now) {
        draining = true;
        for (Fn fn : List.copyOf(functions.values())) {
            for (Order order : List.copyOf(fn.orders)) {
                actions.answerOrder(order.id, OrderAnswer.FULL, fn.ready());
                orders.remove(order.id);
            }
            fn.orders.clear();
            dropUnwanted(fn);
        }
        settle();
    }

    private void settle() {
        nextLoads();
        if (draining && !drained && held() == 0) {
            drained = true;
            actions.drained();
        }
    }

    private Fn fn(String function) {
        return functions.computeIfAbsent(function, Fn::new);
    }

    private void forget(Fn fn) {
        if (fn.empty() && functions.get(fn.name) == fn) {
            functions.remove(fn.name);
        }
    }
}
