package wharfhinge.protocol.grpc;

import io.grpc.Metadata;

/** Names in headers and trailers; what they mean is in {@code docs/protocol-grpc.md}. */
public final class GrpcProtocol {
    /** What the final answer is, in a word; a trailer. */
    public static final Metadata.Key<String> ANSWER = text("wh-answer");
    /** What became of each attempt, or why there was none; a trailer. */
    public static final Metadata.Key<String> REASON = text("wh-reason");
    /** How many attempts there were; a trailer. */
    public static final Metadata.Key<String> ATTEMPTS = text("wh-attempts");
    /** When to come back, in milliseconds; a trailer. */
    public static final Metadata.Key<String> RETRY_AFTER_MS = text("wh-retry-after-ms");
    /** A token; a header. */
    public static final Metadata.Key<String> AUTHORIZATION = text("authorization");
    /** What became of a chain that was refused or failed, as JSON; a trailer. */
    public static final Metadata.Key<byte[]> CHAIN = Metadata.Key.of("wh-chain-bin", Metadata.BINARY_BYTE_MARSHALLER);

    private GrpcProtocol() {}

    private static Metadata.Key<String> text(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }
}
