package wharfhinge.gateway.tls;

import java.util.regex.Pattern;
import javax.net.ssl.SSLSession;

/** Whose call it is: what the connection and the token prove against what the call claims. Any thread may ask. */
public final class Identity {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private final Tokens tokens; // null where none are taken
    private final boolean needed;

    /** {@code needed}: a call that proves no tenant is refused. */
    public Identity(Tokens tokens, boolean needed) {
        this.tokens = tokens;
        this.needed = needed;
    }

    /** What came of a check. */
    public enum Fault {
        NONE,
        NO_PROOF,
        BAD_TOKEN,
        OTHER_TENANT
    }

    /** The tenant that a call is of, or what is wrong. */
    public record Checked(String tenant, Fault fault, String why) {}

    /**
     * Checks a call.
     *
     * @param session       of the connection, or null without TLS
     * @param authorization the header, or null
     * @param claimed       the tenant that the call names, or null
     */
    public Checked check(SSLSession session, String authorization, String claimed) {
        String proven = session == null ? null : Tls.tenant(session);
        if (proven != null && !NAME.matcher(proven).matches()) {
            return new Checked(
                    null,
                    Fault.NO_PROOF,
                    "certificate: found the name '" + proven + "', allowed: 1 to 64 letters, digits, "
                            + "'.', '_', '-'");
        }
        if (tokens != null && authorization != null) {
            try {
                String told = tokens.tenant(authorization);
                if (proven != null && !proven.equals(told)) {
                    return new Checked(
                            null,
                            Fault.OTHER_TENANT,
                            "authorization: found a token of '" + told + "' on a connection of '" + proven + "'");
                }
                proven = told;
            } catch (Tokens.BadTokenException e) {
                return new Checked(null, Fault.BAD_TOKEN, e.getMessage());
            }
        }
        if (proven == null) {
            return needed
                    ? new Checked(
                            null, Fault.NO_PROOF, "tenant: found no proof, allowed: a client certificate or a token")
                    : new Checked(claimed, Fault.NONE, "");
        }
        if (claimed != null && !claimed.equals(proven)) {
            return new Checked(
                    null, Fault.OTHER_TENANT, "wh-tenant: found '" + claimed + "', allowed: '" + proven + "'");
        }
        return new Checked(proven, Fault.NONE, "");
    }
}
