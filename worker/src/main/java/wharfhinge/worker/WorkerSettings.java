package wharfhinge.worker;

import jakarta.xml.bind.annotation.XmlAccessType;
import jakarta.xml.bind.annotation.XmlAccessorType;
import jakarta.xml.bind.annotation.XmlAttribute;
import jakarta.xml.bind.annotation.XmlElement;
import jakarta.xml.bind.annotation.XmlRootElement;
import java.net.URL;
import java.util.ArrayList;
import java.util.List;
import wharfhinge.decisions.copies.CopySettings;

/** A worker's settings as its file holds them; worker.xsd has units, ranges and defaults, docs/operate/worker.md the why. */
@XmlRootElement(name = "worker")
@XmlAccessorType(XmlAccessType.FIELD)
public final class WorkerSettings {
    private static final long KB_IN_MB = 1024;
    private static final long NANOS_PER_MS = 1_000_000L;

    @XmlAttribute(name = "name")
    private String name;

    @XmlElement(name = "listen")
    private Listen listen;

    @XmlElement(name = "memory")
    private Memory memory;

    @XmlElement(name = "calls")
    private Calls calls = new Calls();

    @XmlElement(name = "loads")
    private Loads loads = new Loads();

    @XmlElement(name = "store")
    private Store store;

    @XmlElement(name = "images")
    private Images images;

    @XmlElement(name = "keys")
    private Keys keys = new Keys();

    @XmlElement(name = "reports")
    private Reports reports = new Reports();

    @XmlElement(name = "drain")
    private Drain drain = new Drain();

    @XmlElement(name = "events")
    private Events events = new Events();

    /** Where it listens. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Listen {
        @XmlAttribute(name = "port")
        private int port;
    }

    /** Memory. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Memory {
        @XmlAttribute(name = "copies-mb")
        private int copiesMb;

        @XmlAttribute(name = "own-mb")
        private int ownMemoryMb = 256;

        @XmlAttribute(name = "usual-copy-mb")
        private int defaultCopyMb = 64;
    }

    /** Calls. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Calls {
        @XmlAttribute(name = "queue")
        private int maxQueued = 64;

        @XmlAttribute(name = "not-loaded")
        private String onNotLoaded = "load";

        @XmlAttribute(name = "further-copies")
        private String onNoFreeSlot = "own";

        @XmlAttribute(name = "keep-ms")
        private long idleRetentionMillis = 60_000;

        @XmlAttribute(name = "most-body-kb")
        private int maxBodyKb = 1024;
    }

    /** Loads. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Loads {
        @XmlAttribute(name = "at-once")
        private int maxConcurrent = 4;

        @XmlAttribute(name = "line")
        private int maxQueued = 32;

        @XmlAttribute(name = "fetch-ms")
        private long fetchTimeoutMillis = 10_000;

        @XmlAttribute(name = "stop-ms")
        private long stopTimeoutMillis = 500;
    }

    /** The store. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Store {
        @XmlAttribute(name = "url")
        private String url;

        @XmlAttribute(name = "fresh-ms")
        private long freshMillis = 5000;
    }

    /** Images on disk. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Images {
        @XmlAttribute(name = "folder")
        private String folder;

        @XmlAttribute(name = "most-mb")
        private long maxMb = 1024;
    }

    /** Publishers' keys. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Keys {
        @XmlElement(name = "key")
        private final List<Key> keys = new ArrayList<>();
    }

    /** A publisher's public key. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Key {
        @XmlAttribute(name = "file")
        private String file;
    }

    /** Reports. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Reports {
        @XmlAttribute(name = "refresh-ms")
        private long refreshMillis = 200;
    }

    /** Draining. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Drain {
        @XmlAttribute(name = "within-ms")
        private long timeoutMillis = 10_000;
    }

    /** The record of what came and went. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Events {
        @XmlAttribute(name = "file")
        private String file = "";
    }

    /** The schema of the file. */
    public static URL schema() {
        return WorkerSettings.class.getResource("worker.xsd");
    }

    /** Its name, for logs. */
    public String name() {
        return name;
    }

    /** The port; 0 takes any. */
    public int port() {
        return listen.port;
    }

    /** What the decisions go by. */
    CopySettings copySettings() {
        return new CopySettings(
                memory.copiesMb * KB_IN_MB,
                memory.defaultCopyMb * KB_IN_MB,
                calls.maxQueued,
                loads.maxConcurrent,
                loads.maxQueued,
                calls.idleRetentionMillis * NANOS_PER_MS,
                calls.onNotLoaded.equals("load"),
                calls.onNoFreeSlot.equals("own"));
    }

    /** What the process may hold beside its copies, KiB. */
    long ownMemoryKb() {
        return memory.ownMemoryMb * KB_IN_MB;
    }

    int maxConcurrentLoads() {
        return loads.maxConcurrent;
    }

    int maxBodyBytes() {
        return calls.maxBodyKb * 1024;
    }

    long fetchTimeoutNanos() {
        return loads.fetchTimeoutMillis * NANOS_PER_MS;
    }

    long stopTimeoutMillis() {
        return loads.stopTimeoutMillis;
    }

    String storeUrl() {
        return store.url;
    }

    long freshNanos() {
        return store.freshMillis * NANOS_PER_MS;
    }

    /** Where images are, as written: relative to the file. */
    public String imagesFolder() {
        return images.folder;
    }

    long maxImageBytes() {
        return images.maxMb << 20;
    }

    /** Files of trusted keys, as written: relative to the file. */
    public List<String> keyFiles() {
        return keys.keys.stream().map(key -> key.file).toList();
    }

    long refreshMillis() {
        return reports.refreshMillis;
    }

    /** Within which a drain ends, whatever still runs. */
    public long drainTimeoutMillis() {
        return drain.timeoutMillis;
    }

    /** Where events are written, as written: relative to the file; empty for nowhere. */
    public String eventsFile() {
        return events.file;
    }
}
