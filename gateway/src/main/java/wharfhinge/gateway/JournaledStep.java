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
 * A finished step of a chain, as the step journal stores it. The encoding has the components in this order except for the answer, which is
 * its content type, its length and its body. Numbers are big-endian, strings modified UTF-8.
 *
 * @param recordedAtMillis Unix time at which the step was recorded
 * @param stepCount        number of steps in its chain
 * @param step             index of the step in its chain
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

    /** Returns the key in the journal's map. A later record of the same step replaces the earlier one. */
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
            throw new UncheckedIOException("step " + step + " of a chain cannot be encoded", e);
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

    /** Decodes only {@code recordedAtMillis}. */
    static long recordedAtMillis(byte[] value) {
        return ByteBuffer.wrap(value).getLong();
    }
}
