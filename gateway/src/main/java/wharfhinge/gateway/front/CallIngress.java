package wharfhinge.gateway.front;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.net.ssl.SSLSession;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.ResponseSink;
import wharfhinge.gateway.tls.CallAuthenticator;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.ProtocolException;

/** The services that HTTP and gRPC calls share: request classes, authentication, the chain codec and the engine. Thread-safe. */
public final class CallIngress {
    private final DispatchEngine engine;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final RequestClass defaultClass; // null if there are several classes
    private final ChainJsonCodec chains;
    private final CallAuthenticator authenticator;

    /** Creates an ingress for the request classes and chains of {@code config}. */
    public CallIngress(GatewayConfig config, DispatchEngine engine, CallAuthenticator authenticator) {
        this.engine = engine;
        this.authenticator = authenticator;
        List<RequestClass> all = config.dispatcherSettings().classes();
        all.forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        defaultClass = all.size() == 1 ? all.get(0) : null;
        chains = new ChainJsonCodec(classes, defaultClass, config.chains());
    }

    /** Returns the engine to which calls are submitted. */
    public DispatchEngine engine() {
        return engine;
    }

    /** Returns the codec of chains. */
    public ChainJsonCodec chains() {
        return chains;
    }

    /**
     * Returns the class of a call. A call that names none gets the configured class, if there is only one.
     *
     * @throws ProtocolException if the class is unknown, or if none is named and several are configured
     */
    public RequestClass classOf(CallHead head) throws ProtocolException {
        RequestClass requestClass = head.requestClass() == null ? defaultClass : classes.get(head.requestClass());
        if (requestClass == null) {
            throw new ProtocolException(
                    ClientProtocol.CLASS.toString(), head.requestClass(), "one of " + classes.keySet());
        }
        return requestClass;
    }

    /** Authenticates a call, see {@link CallAuthenticator#authenticate}. */
    public CallAuthenticator.Authentication authenticate(
            SSLSession session, String authorization, String claimedTenant) {
        return authenticator.authenticate(session, authorization, claimedTenant);
    }

    /** Returns the response metadata of a call that the engine did not accept. */
    public static ResponseSink.ResponseMetadata rejectedMetadata(DispatchEngine.SubmissionResult submission) {
        return new ResponseSink.ResponseMetadata(
                null, List.of("not-taken:" + submission.status().word()), 0, false);
    }
}
