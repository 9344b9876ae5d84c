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

    private static wharfhinge.capture.wire.Act.Builder act(RecordedAction action) {
        return wharfhinge.capture.wire.Act.newBuilder()
                .setKind(action.kind().name())
                .setRequest(action.request())
                .setWorker(action.worker())
                .setFunction(action.function())
                .setText(action.text())
                .setNumber(action.number())
                .setPayload(ByteString.copyFrom(Base64.getDecoder().decode(action.payload())));
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

    private static wharfhinge.capture.wire.Completed.Builder completed(AttemptCompletion completion) {
        return wharfhinge.capture.wire.Completed.newBuilder()
                .setRequest(completion.request())
                .setOutcome(StoredNames.word(completion.outcome()))
                .setAttempt(completion.attempt())
                .setTookNs(completion.tookNanos())
                .setWorker(completion.worker())
                .setNote(StoredNames.word(completion.cacheStatus()))
                .setCompany(completion.concurrentOnWorker())
                .setSettled(completion.answered())
                .addAllReport(report(completion.report()));
    }

    private static wharfhinge.capture.wire.Request request(Request request) {
        var to = wharfhinge.capture.wire.Request.newBuilder()
                .setId(request.id())
                .setRemainingNs(request.remainingNanos())
                .setMemoryMb(request.memoryMb())
                .setFunction(request.function())
                .setCostNs(request.costNanos())
                .setLanes(request.concurrencyPerCopy())
                .setLoadMs(request.loadMillis())
                .setRequestClass(request.requestClass())
                .setRepeat(request.retry())
                .setWrite(request.write());
        return (request.tenant() == null ? to : to.setTenant(request.tenant())).build();
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
    static Frame read(wharfhinge.capture.wire.Frame message) throws IOException {
        List<RecordedAction> acts = new ArrayList<>();
        try {
            for (var a : message.getActsList()) {
                acts.add(new RecordedAction(
                        RecordedAction.Kind.valueOf(a.getKind()),
                        a.getRequest(),
                        a.getWorker(),
                        a.getFunction(),
                        a.getText(),
                        a.getNumber(),
                        Base64.getEncoder().encodeToString(a.getPayload().toByteArray())));
            }
            return new Frame(message.getAtNs(), event(message), acts, message.getThrown());
        } catch (IllegalArgumentException e) {
            throw new IOException("unknown word, written by a later version: " + e.getMessage());
        }
    }

    private static Event event(wharfhinge.capture.wire.Frame message) throws IOException {
        return switch (message.getEventCase()) {
            case LIFE -> new Event.Life(
                    message.getLife().getNumber(),
                    message.getLife().getSeed(),
                    FrameJson.settings(message.getLife().getSettingsJson()));
            case GAP -> new Event.Gap(message.getGap().getLost());
            case NAMED -> new Event.Named(
                    message.getNamed().getId(), message.getNamed().getOuter());
            case MEMBERS -> new Event.Members(
                    StoredNames.constant(
                            EndpointUpdateMode.class, message.getMembers().getMode()),
                    message.getMembers().getRevision(),
                    message.getMembers().getWorkersList().stream()
                            .map(w -> new Endpoint(
                                    w.getId(),
                                    w.getZone(),
                                    w.getKind(),
                                    w.getCell(),
                                    StoredNames.constant(Availability.class, w.getAvailability()),
                                    w.getWeight(),
                                    w.getStartedAt()))
                            .toList());
            case QUERY -> new Event.Query(request(message.getQuery().getRequest()));
            case EXPECTED -> new Event.Expected(request(message.getExpected().getRequest()));
            case ASKED_WARM -> new Event.AskedWarm(
                    message.getAskedWarm().getFunction(), message.getAskedWarm().getWarm());
            case CLIENT_LEFT -> new Event.ClientLeft(message.getClientLeft().getRequest());
            case PROBED -> new Event.Probed(
                    message.getProbed().getWorker(),
                    StoredNames.constant(Outcome.class, message.getProbed().getOutcome()),
                    message.getProbed().getTookNs(),
                    report(message.getProbed().getReportList()));
            case ESTABLISHED -> new Event.Established(
                    message.getEstablished().getRequest(),
                    message.getEstablished().getAttempt(),
                    message.getEstablished().getWorker());
            case INBOX -> new Event.Inbox(
                    message.getInbox().getPeer(),
                    message.getInbox().getPayload().toByteArray());
            case DUE -> new Event.Due(message.getDue().getToken());
            case COMPLETED -> completed(message.getCompleted());
            case RESIDENT -> new Event.Resident(
                    message.getResident().getWorker(),
                    message.getResident().getFunction(),
                    message.getResident().getCount(),
                    StoredNames.constant(Outcome.class, message.getResident().getOutcome()),
                    message.getResident().getTookNs());
            case EVENT_NOT_SET -> throw new IOException("unknown event, written by a later version");
        };
    }

    private static Event completed(wharfhinge.capture.wire.Completed message) {
        return new Event.Completed(new AttemptCompletion(
                message.getRequest(),
                StoredNames.constant(Outcome.class, message.getOutcome()),
                message.getAttempt(),
                message.getTookNs(),
                message.getWorker(),
                StoredNames.constant(CacheStatus.class, message.getNote()),
                message.getCompany(),
                message.getSettled(),
                report(message.getReportList())));
    }

    private static Request request(wharfhinge.capture.wire.Request message) {
        return new Request(
                message.getId(),
                message.hasTenant() ? message.getTenant() : null,
                message.getRemainingNs(),
                message.getMemoryMb(),
                message.getFunction(),
                message.getCostNs(),
                message.getLanes(),
                message.getLoadMs(),
                message.getRequestClass(),
                message.getRepeat(),
                message.getWrite());
    }

    private static Map<String, Double> report(List<wharfhinge.capture.wire.Figure> figures) {
        Map<String, Double> report = new LinkedHashMap<>();
        figures.forEach(x -> report.put(x.getName(), x.getValue()));
        return report;
    }
}
