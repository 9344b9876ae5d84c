package wharfhinge.gateway.front;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.net.ssl.SSLSession;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.ResponseSink;
import wharfhinge.gateway.tls.Identity;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.ProtocolException;

/** What is done with a client's call whichever protocol it came by: its class, its tenant, its way to the loop. Any thread may ask. */
public final class Intake {
    private final DispatchEngine loop;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final RequestClass only;
    private final ChainJson chains;
    private final Identity identity;

    /** For one gateway. */
    public Intake(GatewayConfig config, DispatchEngine loop, Identity identity) {
        this.loop = loop;
        this.identity = identity;
        List<RequestClass> all = config.settings().classes();
        all.forEach(c -> classes.put(c.name(), c));
        only = all.size() == 1 ? all.get(0) : null;
        chains = new ChainJson(classes, only, config.chains());
    }

    /** Where calls go. */
    public DispatchEngine loop() {
        return loop;
    }

    /** What reads chains. */
    public ChainJson chains() {
        return chains;
    }

    /** A call's class; the only one where it names none. @throws ProtocolException where there is none such */
    public RequestClass type(CallHead head) throws ProtocolException {
        RequestClass type = head.requestClass() == null ? only : classes.get(head.requestClass());
        if (type == null) {
            throw new ProtocolException(
                    ClientProtocol.CLASS.toString(), head.requestClass(), "one of " + classes.keySet());
        }
        return type;
    }

    /** Whose a call is, see {@link Identity#check}. */
    public Identity.Checked tenant(SSLSession session, String authorization, String claimed) {
        return identity.check(session, authorization, claimed);
    }

    /** What a client is told of a call that was not taken. */
    public static ResponseSink.ResponseMetadata notTaken(DispatchEngine.SubmissionResult offered) {
        return new ResponseSink.ResponseMetadata(
                null, List.of("not-taken:" + offered.status().word()), 0, false);
    }
}
