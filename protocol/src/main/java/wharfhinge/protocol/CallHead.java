package wharfhinge.protocol;

import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * The head of a client's call, checked. Absent figures are 0, an absent id, class, tenant null.
 *
 * @param deadlineMillis what the client waits; 0 where it does not say
 * @param costUs     expected work, microseconds
 * @param idempotencyKey by which workers know a call that was sent before; the same with each retry of its client, null where there is none
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
    private static final Pattern FUNCTION = Pattern.compile("[A-Za-z0-9._-]{1,128}");
    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final String WORD_ALLOWED = "1 to 64 letters, digits, '.', '_', '-'";
    private static final long MOST_MS = 86_400_000L;
    private static final int MOST_LANES = 4096;

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
     * Reads the head of a call.
     *
     * @param path    the request's path, which begins with {@link ClientProtocol#CALL_PATH}
     * @param headers the value of a header by its lower-case name, or null
     * @throws ProtocolException names the first header that is wrong, what it held and what is allowed
     */
    public static CallHead parse(String path, Function<CharSequence, String> headers) throws ProtocolException {
        String function = path.substring(ClientProtocol.CALL_PATH.length());
        if (!FUNCTION.matcher(function).matches()) {
            throw new ProtocolException("function in the path", function, "1 to 128 letters, digits, '.', '_', '-'");
        }
        String deadline = headers.apply(ClientProtocol.DEADLINE_MS);
        long deadlineMillis = number(ClientProtocol.DEADLINE_MS, deadline, MOST_MS);
        if (deadline != null && deadlineMillis == 0) {
            throw new ProtocolException(ClientProtocol.DEADLINE_MS.toString(), deadline, "a whole number above 0");
        }
        return new CallHead(
                function,
                word(ClientProtocol.ID, headers),
                word(ClientProtocol.CLASS, headers),
                word(ClientProtocol.TENANT, headers),
                deadlineMillis,
                number(ClientProtocol.COST_US, headers.apply(ClientProtocol.COST_US), MOST_MS * 1000),
                figure(ClientProtocol.MEMORY_MB, headers),
                (int) number(ClientProtocol.LANES, headers.apply(ClientProtocol.LANES), MOST_LANES),
                figure(ClientProtocol.LOAD_MS, headers),
                flag(ClientProtocol.REPEAT, headers),
                flag(ClientProtocol.WRITE, headers));
    }

    /** The same of another tenant, or of none (null). */
    public CallHead of(String other) {
        return new CallHead(
                function,
                id,
                requestClass,
                other,
                deadlineMillis,
                costUs,
                memoryMb,
                lanes,
                loadMillis,
                repeat,
                write,
                idempotencyKey);
    }

    private static String word(CharSequence name, Function<CharSequence, String> headers) throws ProtocolException {
        String value = headers.apply(name);
        if (value != null && !WORD.matcher(value).matches()) {
            throw new ProtocolException(name.toString(), value, WORD_ALLOWED);
        }
        return value;
    }

    private static long number(CharSequence name, String value, long most) throws ProtocolException {
        if (value == null) {
            return 0;
        }
        String allowed = "a whole number from 0 to " + most;
        if (value.isEmpty() || value.length() > 18 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new ProtocolException(name.toString(), value, allowed);
        }
        long number = Long.parseLong(value);
        if (number > most) {
            throw new ProtocolException(name.toString(), value, allowed);
        }
        return number;
    }

    private static double figure(CharSequence name, Function<CharSequence, String> headers) throws ProtocolException {
        String value = headers.apply(name);
        if (value == null) {
            return 0;
        }
        double figure;
        try {
            figure = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            figure = Double.NaN;
        }
        if (!(figure >= 0 && figure <= 1e9)) {
            throw new ProtocolException(name.toString(), value, "a number from 0 to 1000000000");
        }
        return figure;
    }

    private static boolean flag(CharSequence name, Function<CharSequence, String> headers) throws ProtocolException {
        String value = headers.apply(name);
        if (value != null && !value.equals("0") && !value.equals("1")) {
            throw new ProtocolException(name.toString(), value, "0 or 1");
        }
        return "1".equals(value);
    }
}
