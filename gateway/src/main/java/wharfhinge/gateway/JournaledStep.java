package wharfhinge.gateway;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import wharfhinge.decisions.chain.StepAnswerCache;

/**
 * A finished step as the journal stores it: the fields in this order, numbers big-endian, texts as modified UTF-8.
 *
 * @param recordedAtMillis the wall clock's reading
 * @param stepCount        how many steps its chain has
 * @param step             its index in the chain
 */
record JournaledStep(
        long recordedAtMillis,
        String tenant,
        String key,
        String digest,
        int stepCount,
        int step,
        StepAnswerCache.Answer answer) {
    private static final int EXPECTED_HEADER_BYTES = 128;

    /** The journal's key; a later record of the same step replaces the former. */
    String mapKey() {
        return tenant + '\n' + key + '\n' + step;
    }

    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(answer.body().length + EXPECTED_HEADER_BYTES);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(recordedAtMillis);
            out.writeUTF(tenant);
            out.writeUTF(key);
            out.writeUTF(digest);
            out.writeInt(stepCount);
            out.writeInt(step);
            out.writeUTF(answer.contentType() == null ? "" : answer.contentType());
            out.writeInt(answer.body().length);
            out.write(answer.body());
        } catch (IOException e) {
            throw new UncheckedIOException("step " + step + " of a chain can't be encoded", e);
        }
        return bytes.toByteArray();
    }

    static JournaledStep decode(byte[] value) throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
            long recordedAtMillis = in.readLong();
            String tenant = in.readUTF();
            String key = in.readUTF();
            String digest = in.readUTF();
            int stepCount = in.readInt();
            int step = in.readInt();
            String contentType = in.readUTF();
            byte[] body = new byte[in.readInt()];
            in.readFully(body);
            StepAnswerCache.Answer answer =
                    new StepAnswerCache.Answer(body, contentType.isEmpty() ? null : contentType);
            return new JournaledStep(recordedAtMillis, tenant, key, digest, stepCount, step, answer);
        }
    }

    /** Reads the first field alone. */
    static long recordedAtMillis(byte[] value) {
        return ByteBuffer.wrap(value).getLong();
    }
}
