package wharfhinge.engine;

/** Told whether the source of the endpoint list is heard. Any thread. */
public interface EndpointStatusListener {
    /** Everything that there was up to {@code atNanos}, a reading of {@link System#nanoTime}, has been delivered as updates. */
    void onConfirmed(long atNanos);

    /** The source has to be asked again; the list held may be stale until it is confirmed. */
    void onUnconfirmed();
}
