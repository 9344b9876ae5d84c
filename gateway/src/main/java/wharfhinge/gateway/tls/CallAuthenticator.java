package wharfhinge.gateway.tls;

import java.util.regex.Pattern;
import javax.net.ssl.SSLSession;

/** Authenticates calls: compares the tenant that certificate and token prove with the tenant that the call claims. Thread-safe. */
public final class CallAuthenticator {
    private static final Pattern TENANT_NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private final BearerTokens tokens; // null if tokens are not accepted
    private final boolean proofRequired;

    /**
     * Creates an authenticator that accepts certificates and, if {@code tokens} is not null, tokens.
     *
     * @param proofRequired whether a call that proves no tenant is rejected
     */
    public CallAuthenticator(BearerTokens tokens, boolean proofRequired) {
        this.tokens = tokens;
        this.proofRequired = proofRequired;
    }

    /** Why a call is not authenticated. */
    public enum Fault {
        NONE,
        NO_PROOF,
        BAD_TOKEN,
        OTHER_TENANT
    }

    /** The authenticated tenant, or the fault and a message for the client. */
    public record Authentication(String tenant, Fault fault, String message) {}

    /**
     * Authenticates a call.
     *
     * @param session       the connection's TLS session, or null without TLS
     * @param authorization the {@code authorization} header, or null
     * @param claimedTenant the tenant that the call names, or null
     */
    public Authentication authenticate(SSLSession session, String authorization, String claimedTenant) {
        String provenTenant = session == null ? null : TlsContext.tenantOf(session);
        if (provenTenant != null && !TENANT_NAME.matcher(provenTenant).matches()) {
            return new Authentication(
                    null,
                    Fault.NO_PROOF,
                    "certificate: found the name '" + provenTenant + "', allowed: 1 to 64 letters, digits, "
                            + "'.', '_', '-'");
        }
        if (tokens != null && authorization != null) {
            try {
                String tokenTenant = tokens.tenantOf(authorization);
                if (provenTenant != null && !provenTenant.equals(tokenTenant)) {
                    return new Authentication(
                            null,
                            Fault.OTHER_TENANT,
                            "authorization: found a token of '" + tokenTenant + "' on a connection of '" + provenTenant
                                    + "'");
                }
                provenTenant = tokenTenant;
            } catch (BearerTokens.InvalidTokenException e) {
                return new Authentication(null, Fault.BAD_TOKEN, e.getMessage());
            }
        }
        if (provenTenant == null) {
            return proofRequired
                    ? new Authentication(
                            null, Fault.NO_PROOF, "tenant: found no proof, allowed: a client certificate or a token")
                    : new Authentication(claimedTenant, Fault.NONE, "");
        }
        if (claimedTenant != null && !claimedTenant.equals(provenTenant)) {
            return new Authentication(
                    null,
                    Fault.OTHER_TENANT,
                    "wh-tenant: found '" + claimedTenant + "', allowed: '" + provenTenant + "'");
        }
        return new Authentication(provenTenant, Fault.NONE, "");
    }
}
