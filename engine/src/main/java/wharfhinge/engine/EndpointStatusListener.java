package wharfhinge.engine;

/** Receives whether the endpoint list is confirmed by its source. May be called from any thread. */
public interface EndpointStatusListener {
    /** The source has delivered all updates up to {@code atNanos}, a reading of {@link System#nanoTime}. */
    void onConfirmed(long atNanos);

    /** The endpoint list may be stale until its source confirms it again. */
    void onUnconfirmed();
}
