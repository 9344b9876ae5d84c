package wharfhinge.engine;

/** Sends bytes to other gateways; may lose them, never blocks. */
@FunctionalInterface
public interface PeerTransport {
    /** No peers. */
    PeerTransport NONE = (peer, payload) -> {};

    /** Sends to the gateway of that number, or to all with -1. */
    void send(int peer, byte[] payload);
}
