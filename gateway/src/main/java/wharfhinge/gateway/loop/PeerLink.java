package wharfhinge.gateway.loop;

/** Sends bytes to other gateways; may lose them, never blocks. */
@FunctionalInterface
public interface PeerLink {
    /** No peers. */
    PeerLink NONE = (peer, payload) -> {};

    /** Sends to the gateway of that number, or to all with -1. */
    void publish(int peer, byte[] payload);
}
