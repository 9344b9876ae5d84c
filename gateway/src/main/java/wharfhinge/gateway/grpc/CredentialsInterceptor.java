package wharfhinge.gateway.grpc;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import javax.net.ssl.SSLSession;
import wharfhinge.protocol.grpc.GrpcProtocol;

/** Puts the client's TLS session and {@code authorization} header into the context of each call. */
final class CredentialsInterceptor implements ServerInterceptor {
    static final Context.Key<SSLSession> SESSION = Context.key("session");
    static final Context.Key<String> AUTHORIZATION = Context.key("authorization");

    @Override
    public <Q, R> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
        Context context = Context.current()
                .withValue(SESSION, call.getAttributes().get(Grpc.TRANSPORT_ATTR_SSL_SESSION))
                .withValue(AUTHORIZATION, headers.get(GrpcProtocol.AUTHORIZATION));
        return Contexts.interceptCall(context, call, headers, next);
    }
}
