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

/** What every client call needs, whichever protocol it came by: its class, its tenant, the engine. Thread-safe. */
public final class CallIngress {
    private final DispatchEngine engine;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final RequestClass defaultClass; // null where there are several
    private final ChainJsonCodec chains;
    private final CallAuthenticator identity;

    /** Resolves classes and tenants as {@code config} has them. */
    public CallIngress(GatewayConfig config, DispatchEngine engine, CallAuthenticator identity) {
        this.engine = engine;
        this.identity = identity;
        List<RequestClass> all = config.dispatcherSettings().classes();
        all.forEach(c -> classes.put(c.name(), c));
        defaultClass = all.size() == 1 ? all.get(0) : null;
        chains = new ChainJsonCodec(classes, defaultClass, config.chains());
    }

    /** Where calls are submitted. */
    public DispatchEngine engine() {
        return engine;
    }

    /** Reads and writes chains. */
    public ChainJsonCodec chains() {
        return chains;
    }

    /**
     * A call's class; the only one where it names none.
     *
     * @throws ProtocolException where there is no such class
     */
    public RequestClass classOf(CallHead head) throws ProtocolException {
        RequestClass requestClass = head.requestClass() == null ? defaultClass : classes.get(head.requestClass());
        if (requestClass == null) {
            throw new ProtocolException(
                    ClientProtocol.CLASS.toString(), head.requestClass(), "one of " + classes.keySet());
        }
        return requestClass;
    }

    /** The tenant of a call, see {@link CallAuthenticator#authenticate}. */
    public CallAuthenticator.Authentication authenticate(SSLSession session, String authorization, String claimed) {
        return identity.authenticate(session, authorization, claimed);
    }

    /** What a client receives for a call that the engine did not accept. */
    public static ResponseSink.ResponseMetadata rejectedMetadata(DispatchEngine.SubmissionResult submission) {
        return new ResponseSink.ResponseMetadata(
                null, List.of("not-taken:" + submission.status().word()), 0, false);
    }
}
