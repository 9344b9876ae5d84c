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

/** The settings file of a worker. worker.xsd defines ranges and defaults, docs/operate/worker.md explains the settings. */
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

    /** The listener. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Listen {
        @XmlAttribute(name = "port")
        private int port;
    }

    /** Memory of copies and of the process. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Memory {
        @XmlAttribute(name = "copies-mb")
        private int copiesMb;

        @XmlAttribute(name = "own-mb")
        private int ownMemoryMb = 256;

        @XmlAttribute(name = "usual-copy-mb")
        private int defaultCopyMb = 64;
    }

    /** Handling of calls. */
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

    /** Limits of loads. */
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

    /** The package store. */
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

    /** Public keys of trusted publishers. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Keys {
        @XmlElement(name = "key")
        private final List<Key> keys = new ArrayList<>();
    }

    /** The public key of a trusted publisher. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Key {
        @XmlAttribute(name = "file")
        private String file;
    }

    /** Load reports. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Reports {
        @XmlAttribute(name = "refresh-ms")
        private long refreshMillis = 200;
    }

    /** The graceful shutdown. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Drain {
        @XmlAttribute(name = "within-ms")
        private long timeoutMillis = 10_000;
    }

    /** The event log. */
    @XmlAccessorType(XmlAccessType.FIELD)
    public static final class Events {
        @XmlAttribute(name = "file")
        private String file = "";
    }

    /** The XML schema of the settings file. */
    public static URL schema() {
        return WorkerSettings.class.getResource("worker.xsd");
    }

    /** The worker's name in logs. */
    public String name() {
        return name;
    }

    /** The port to listen on; 0 for any free port. */
    public int port() {
        return listen.port;
    }

    /** The settings of the copy scheduler. */
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

    /** Memory that the process may use besides its copies, in KiB. */
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

    /** The folder of images as written in the file; a relative path is relative to the file's folder. */
    public String imagesFolder() {
        return images.folder;
    }

    long maxImageBytes() {
        return images.maxMb << 20;
    }

    /** The files of trusted keys as written in the file; relative paths are relative to the file's folder. */
    public List<String> keyFiles() {
        return keys.keys.stream().map(key -> key.file).toList();
    }

    long refreshMillis() {
        return reports.refreshMillis;
    }

    /** The time after which a graceful shutdown ends even if calls still run. */
    public long drainTimeoutMillis() {
        return drain.timeoutMillis;
    }

    /** The event log as written in the file, relative to the file's folder; empty if no events are logged. */
    public String eventsFile() {
        return events.file;
    }
}
