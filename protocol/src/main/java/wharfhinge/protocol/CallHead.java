package wharfhinge.protocol;

import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Validated path and headers of a client's call. Absent numbers are 0; an absent id, class or tenant is null.
 *
 * @param deadlineMillis how long the client waits
 * @param costUs         expected work in microseconds on a standard core
 * @param lanes          number of calls that one copy runs concurrently
 * @param loadMillis     typical time of a load
 * @param repeat         whether the client retries an earlier call of its own
 * @param write          whether the call writes data
 * @param idempotencyKey by which workers recognize a call that was sent before; the same for each retry by the client,
 *     or null
 */
public record CallHead(
        String function,
        String id,
        String requestClass,
        String tenant,
        long deadlineMillis,
        long costUs,
        double memoryMb,
        int lanes,
        double loadMillis,
        boolean repeat,
        boolean write,
        String idempotencyKey) {
    private static final Pattern FUNCTION_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,128}");
    private static final Pattern IDENTIFIER_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final String IDENTIFIER_ALLOWED = "1 to 64 letters, digits, '.', '_', '-'";
    private static final long MAX_MILLIS = 86_400_000L;
    private static final int MAX_LANES = 4096;

    /** A call without an idempotency key. */
    public CallHead(
            String function,
            String id,
            String requestClass,
            String tenant,
            long deadlineMillis,
            long costUs,
            double memoryMb,
            int lanes,
            double loadMillis,
            boolean repeat,
            boolean write) {
        this(
                function,
                id,
                requestClass,
                tenant,
                deadlineMillis,
                costUs,
                memoryMb,
                lanes,
                loadMillis,
                repeat,
                write,
                null);
    }

    /**
     * Parses and validates the path and headers of a call.
     *
     * @param path    the request's path, which begins with {@link ClientProtocol#CALL_PATH}
     * @param headers the value of a header by its lower-case name, or null
     * @throws ProtocolException if the function or a header is malformed; names the first one, its value and what is
     *     allowed
     */
    public static CallHead parse(String path, Function<CharSequence, String> headers) throws ProtocolException {
        String function = path.substring(ClientProtocol.CALL_PATH.length());
        if (!FUNCTION_PATTERN.matcher(function).matches()) {
            throw new ProtocolException("function in the path", function, "1 to 128 letters, digits, '.', '_', '-'");
        }
        String deadline = headers.apply(ClientProtocol.DEADLINE_MS);
        long deadlineMillis = wholeNumber(ClientProtocol.DEADLINE_MS, deadline, MAX_MILLIS);
        if (deadline != null && deadlineMillis == 0) {
            throw new ProtocolException(ClientProtocol.DEADLINE_MS.toString(), deadline, "a whole number above 0");
        }
        return new CallHead(
                function,
                identifier(ClientProtocol.ID, headers),
                identifier(ClientProtocol.CLASS, headers),
                identifier(ClientProtocol.TENANT, headers),
                deadlineMillis,
                wholeNumber(ClientProtocol.COST_US, headers.apply(ClientProtocol.COST_US), MAX_MILLIS * 1000),
                decimal(ClientProtocol.MEMORY_MB, headers),
                (int) wholeNumber(ClientProtocol.LANES, headers.apply(ClientProtocol.LANES), MAX_LANES),
                decimal(ClientProtocol.LOAD_MS, headers),
                flag(ClientProtocol.REPEAT, headers),
                flag(ClientProtocol.WRITE, headers));
    }

    /** A copy of this head for another tenant, or for none if null. */
    public CallHead of(String otherTenant) {
        return new CallHead(
                function,
                id,
                requestClass,
                otherTenant,
                deadlineMillis,
                costUs,
                memoryMb,
                lanes,
                loadMillis,
                repeat,
                write,
                idempotencyKey);
    }

    private static String identifier(CharSequence name, Function<CharSequence, String> headers)
            throws ProtocolException {
        String value = headers.apply(name);
        if (value != null && !IDENTIFIER_PATTERN.matcher(value).matches()) {
            throw new ProtocolException(name.toString(), value, IDENTIFIER_ALLOWED);
        }
        return value;
    }

    private static long wholeNumber(CharSequence name, String value, long max) throws ProtocolException {
        if (value == null) {
            return 0;
        }
        String allowed = "a whole number from 0 to " + max;
        if (value.isEmpty() || value.length() > 18 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new ProtocolException(name.toString(), value, allowed);
        }
        long number = Long.parseLong(value);
        if (number > max) {
            throw new ProtocolException(name.toString(), value, allowed);
        }
        return number;
    }

    private static double decimal(CharSequence name, Function<CharSequence, String> headers) throws ProtocolException {
        String value = headers.apply(name);
        if (value == null) {
            return 0;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            number = Double.NaN;
        }
        if (!(number >= 0 && number <= 1e9)) {
            throw new ProtocolException(name.toString(), value, "a number from 0 to 1000000000");
        }
        return number;
    }

    private static boolean flag(CharSequence name, Function<CharSequence, String> headers) throws ProtocolException {
        String value = headers.apply(name);
        if (value != null && !value.equals("0") && !value.equals("1")) {
            throw new ProtocolException(name.toString(), value, "0 or 1");
        }
        return "1".equals(value);
    }
}
