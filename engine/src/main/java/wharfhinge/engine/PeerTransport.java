package wharfhinge.engine;

/** Sends datagrams to other dispatchers; may lose them, never blocks. */
@FunctionalInterface
public interface PeerTransport {
    /** No peers. */
    PeerTransport NONE = (peer, payload) -> {};

    /** Sends to the dispatcher with that number, or to all with -1. */
    void send(int peer, byte[] payload);
}
