package wharfhinge.engine;

/** Sends datagrams to other dispatchers. A datagram may be lost; sending never blocks. */
@FunctionalInterface
public interface PeerTransport {
    /** The transport of a dispatcher without peers. */
    PeerTransport NONE = (peer, payload) -> {};

    /** Sends {@code payload} to the dispatcher with the number {@code peer}, or to all if {@code peer} is -1. */
    void send(int peer, byte[] payload);
}
