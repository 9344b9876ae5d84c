package wharfhinge.protocol.grpc;

import io.grpc.Metadata;

/** Headers and trailers of the gRPC protocol, which {@code docs/protocol-grpc.md} specifies. */
public final class GrpcProtocol {
    /** Trailer: the final result of the call, in the words of the HTTP header of this name. */
    public static final Metadata.Key<String> ANSWER = text("wh-answer");
    /** Trailer: the outcome of each attempt, or the reason why none was made. */
    public static final Metadata.Key<String> REASON = text("wh-reason");
    /** Trailer: number of attempts. */
    public static final Metadata.Key<String> ATTEMPTS = text("wh-attempts");
    /** Trailer: Retry-After in milliseconds. */
    public static final Metadata.Key<String> RETRY_AFTER_MS = text("wh-retry-after-ms");
    /** Header: the client's bearer token. */
    public static final Metadata.Key<String> AUTHORIZATION = text("authorization");
    /** Trailer: result of a chain that was rejected or failed, as JSON. */
    public static final Metadata.Key<byte[]> CHAIN = Metadata.Key.of("wh-chain-bin", Metadata.BINARY_BYTE_MARSHALLER);

    private GrpcProtocol() {}

    private static Metadata.Key<String> text(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }
}
