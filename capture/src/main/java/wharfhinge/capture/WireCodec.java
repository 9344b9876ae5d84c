package wharfhinge.capture;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;
import wharfhinge.settings.StoredNames;

/** Converts frames to and from the messages of {@code capture.proto}. */
final class WireCodec {

    private WireCodec() {}

    static wharfhinge.capture.wire.Frame write(Frame frame) {
        var to = wharfhinge.capture.wire.Frame.newBuilder().setAtNs(frame.at()).setThrown(frame.thrown());
        frame.acts().forEach(a -> to.addActs(act(a)));
        writeEvent(frame.event(), to);
        return to.build();
    }

    private static wharfhinge.capture.wire.Act.Builder act(RecordedAction a) {
        return wharfhinge.capture.wire.Act.newBuilder()
                .setKind(a.kind().name())
                .setRequest(a.request())
                .setWorker(a.worker())
                .setFunction(a.function())
                .setText(a.text())
                .setNumber(a.number())
                .setPayload(ByteString.copyFrom(Base64.getDecoder().decode(a.payload())));
    }

    private static void writeEvent(Event event, wharfhinge.capture.wire.Frame.Builder to) {
        if (event instanceof Event.Life e) {
            to.setLife(wharfhinge.capture.wire.Life.newBuilder()
                    .setNumber(e.number())
                    .setSeed(e.seed())
                    .setSettingsJson(FrameJson.json(e.settings())));
        } else if (event instanceof Event.Gap e) {
            to.setGap(wharfhinge.capture.wire.Gap.newBuilder().setLost(e.lost()));
        } else if (event instanceof Event.Named e) {
            to.setNamed(wharfhinge.capture.wire.Named.newBuilder()
                    .setId(e.request())
                    .setOuter(e.outer()));
        } else if (event instanceof Event.Members e) {
            to.setMembers(members(e));
        } else if (event instanceof Event.Query e) {
            to.setQuery(wharfhinge.capture.wire.Query.newBuilder().setRequest(request(e.call())));
        } else if (event instanceof Event.Expected e) {
            to.setExpected(wharfhinge.capture.wire.Expected.newBuilder().setRequest(request(e.call())));
        } else if (event instanceof Event.AskedWarm e) {
            to.setAskedWarm(wharfhinge.capture.wire.AskedWarm.newBuilder()
                    .setFunction(e.function())
                    .setWarm(e.warm()));
        } else if (event instanceof Event.ClientLeft e) {
            to.setClientLeft(wharfhinge.capture.wire.ClientLeft.newBuilder().setRequest(e.request()));
        } else if (event instanceof Event.Probed e) {
            to.setProbed(wharfhinge.capture.wire.Probed.newBuilder()
                    .setWorker(e.worker())
                    .setOutcome(StoredNames.word(e.outcome()))
                    .setTookNs(e.tookNanos())
                    .addAllReport(report(e.report())));
        } else if (event instanceof Event.Established e) {
            to.setEstablished(wharfhinge.capture.wire.Established.newBuilder()
                    .setRequest(e.request())
                    .setAttempt(e.attempt())
                    .setWorker(e.worker()));
        } else if (event instanceof Event.Inbox e) {
            to.setInbox(wharfhinge.capture.wire.Inbox.newBuilder()
                    .setPeer(e.peer())
                    .setPayload(ByteString.copyFrom(e.payload())));
        } else if (event instanceof Event.Due e) {
            to.setDue(wharfhinge.capture.wire.Due.newBuilder().setToken(e.token()));
        } else if (event instanceof Event.Completed e) {
            to.setCompleted(completed(e.how()));
        } else if (event instanceof Event.Resident e) {
            to.setResident(wharfhinge.capture.wire.Resident.newBuilder()
                    .setWorker(e.worker())
                    .setFunction(e.function())
                    .setCount(e.count())
                    .setOutcome(StoredNames.word(e.outcome()))
                    .setTookNs(e.tookNanos()));
        }
    }

    private static wharfhinge.capture.wire.Members.Builder members(Event.Members e) {
        var members = wharfhinge.capture.wire.Members.newBuilder()
                .setMode(StoredNames.word(e.mode()))
                .setRevision(e.revision());
        e.workers()
                .forEach(w -> members.addWorkers(wharfhinge.capture.wire.Worker.newBuilder()
                        .setId(w.id())
                        .setZone(w.zone())
                        .setKind(w.kind())
                        .setCell(w.cell())
                        .setAvailability(StoredNames.word(w.availability()))
                        .setWeight(w.weight())
                        .setStartedAt(w.startedAt())));
        return members;
    }

    private static wharfhinge.capture.wire.Completed.Builder completed(AttemptCompletion c) {
        return wharfhinge.capture.wire.Completed.newBuilder()
                .setRequest(c.request())
                .setOutcome(StoredNames.word(c.outcome()))
                .setAttempt(c.attempt())
                .setTookNs(c.tookNanos())
                .setWorker(c.worker())
                .setNote(StoredNames.word(c.cacheStatus()))
                .setCompany(c.concurrentOnWorker())
                .setSettled(c.answered())
                .addAllReport(report(c.report()));
    }

    private static wharfhinge.capture.wire.Request request(Request r) {
        var to = wharfhinge.capture.wire.Request.newBuilder()
                .setId(r.id())
                .setRemainingNs(r.remainingNanos())
                .setMemoryMb(r.memoryMb())
                .setFunction(r.function())
                .setCostNs(r.costNanos())
                .setLanes(r.concurrencyPerCopy())
                .setLoadMs(r.loadMillis())
                .setRequestClass(r.requestClass())
                .setRepeat(r.retry())
                .setWrite(r.write());
        return (r.tenant() == null ? to : to.setTenant(r.tenant())).build();
    }

    private static List<wharfhinge.capture.wire.Figure> report(Map<String, Double> report) {
        List<wharfhinge.capture.wire.Figure> figures = new ArrayList<>();
        if (report != null) {
            report.forEach((name, value) -> figures.add(wharfhinge.capture.wire.Figure.newBuilder()
                    .setName(name)
                    .setValue(value)
                    .build()));
        }
        return figures;
    }

    /**
     * Converts a stored message to a frame.
     *
     * @throws IOException if a later version wrote an event or a word that this version does not know
     */
    static Frame read(wharfhinge.capture.wire.Frame f) throws IOException {
        List<RecordedAction> acts = new ArrayList<>();
        try {
            for (var a : f.getActsList()) {
                acts.add(new RecordedAction(
                        RecordedAction.Kind.valueOf(a.getKind()),
                        a.getRequest(),
                        a.getWorker(),
                        a.getFunction(),
                        a.getText(),
                        a.getNumber(),
                        Base64.getEncoder().encodeToString(a.getPayload().toByteArray())));
            }
            return new Frame(f.getAtNs(), event(f), acts, f.getThrown());
        } catch (IllegalArgumentException e) {
            throw new IOException("unknown word, written by a later version: " + e.getMessage());
        }
    }

    private static Event event(wharfhinge.capture.wire.Frame f) throws IOException {
        return switch (f.getEventCase()) {
            case LIFE -> new Event.Life(
                    f.getLife().getNumber(),
                    f.getLife().getSeed(),
                    FrameJson.settings(f.getLife().getSettingsJson()));
            case GAP -> new Event.Gap(f.getGap().getLost());
            case NAMED -> new Event.Named(f.getNamed().getId(), f.getNamed().getOuter());
            case MEMBERS -> new Event.Members(
                    StoredNames.constant(
                            EndpointUpdateMode.class, f.getMembers().getMode()),
                    f.getMembers().getRevision(),
                    f.getMembers().getWorkersList().stream()
                            .map(w -> new Endpoint(
                                    w.getId(),
                                    w.getZone(),
                                    w.getKind(),
                                    w.getCell(),
                                    StoredNames.constant(Availability.class, w.getAvailability()),
                                    w.getWeight(),
                                    w.getStartedAt()))
                            .toList());
            case QUERY -> new Event.Query(request(f.getQuery().getRequest()));
            case EXPECTED -> new Event.Expected(request(f.getExpected().getRequest()));
            case ASKED_WARM -> new Event.AskedWarm(
                    f.getAskedWarm().getFunction(), f.getAskedWarm().getWarm());
            case CLIENT_LEFT -> new Event.ClientLeft(f.getClientLeft().getRequest());
            case PROBED -> new Event.Probed(
                    f.getProbed().getWorker(),
                    StoredNames.constant(Outcome.class, f.getProbed().getOutcome()),
                    f.getProbed().getTookNs(),
                    report(f.getProbed().getReportList()));
            case ESTABLISHED -> new Event.Established(
                    f.getEstablished().getRequest(),
                    f.getEstablished().getAttempt(),
                    f.getEstablished().getWorker());
            case INBOX -> new Event.Inbox(
                    f.getInbox().getPeer(), f.getInbox().getPayload().toByteArray());
            case DUE -> new Event.Due(f.getDue().getToken());
            case COMPLETED -> completed(f.getCompleted());
            case RESIDENT -> new Event.Resident(
                    f.getResident().getWorker(),
                    f.getResident().getFunction(),
                    f.getResident().getCount(),
                    StoredNames.constant(Outcome.class, f.getResident().getOutcome()),
                    f.getResident().getTookNs());
            case EVENT_NOT_SET -> throw new IOException("unknown event, written by a later version");
        };
    }

    private static Event completed(wharfhinge.capture.wire.Completed c) {
        return new Event.Completed(new AttemptCompletion(
                c.getRequest(),
                StoredNames.constant(Outcome.class, c.getOutcome()),
                c.getAttempt(),
                c.getTookNs(),
                c.getWorker(),
                StoredNames.constant(CacheStatus.class, c.getNote()),
                c.getCompany(),
                c.getSettled(),
                report(c.getReportList())));
    }

    private static Request request(wharfhinge.capture.wire.Request r) {
        return new Request(
                r.getId(),
                r.hasTenant() ? r.getTenant() : null,
                r.getRemainingNs(),
                r.getMemoryMb(),
                r.getFunction(),
                r.getCostNs(),
                r.getLanes(),
                r.getLoadMs(),
                r.getRequestClass(),
                r.getRepeat(),
                r.getWrite());
    }

    private static Map<String, Double> report(List<wharfhinge.capture.wire.Figure> figures) {
        Map<String, Double> report = new LinkedHashMap<>();
        figures.forEach(x -> report.put(x.getName(), x.getValue()));
        return report;
    }
}
