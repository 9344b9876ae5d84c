package wharfhinge.worker;

import com.code_intelligence.jazzer.api.FuzzedDataProvider;
import com.code_intelligence.jazzer.junit.FuzzTest;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.List;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageReader;
import wharfhinge.worker.store.ByteRange;

/**
 * Parsers of input from outside the process accept any input or reject it with a reason. Without JAZZER_FUZZ only the seeds run.
 */
class ParsersFuzzTest {

    @FuzzTest(maxDuration = "10m")
    void manifest(byte[] bytes) {
        try {
            Manifest read = Manifest.parse(bytes);
            if (!read.equals(Manifest.parse(read.format()))) {
                throw new AssertionError("a manifest that was formatted and parsed again differs");
            }
        } catch (InvalidPackageException e) {
            assertMessageIsShort(e);
        }
    }

    @FuzzTest(maxDuration = "10m")
    void zip(byte[] bytes) throws IOException {
        try {
            PackageReader.read(new ByteArrayInputStream(bytes), List.of());
        } catch (InvalidPackageException e) {
            assertMessageIsShort(e);
        }
    }

    @FuzzTest(maxDuration = "10m")
    void headers(FuzzedDataProvider data) {
        long size = data.consumeLong(0, 1 << 20);
        ByteRange range = ByteRange.parse(data.consumeString(40), size);
        if (range.from() >= 0 && (range.to() >= size || range.length() < 1)) {
            throw new AssertionError(range + " of " + size);
        }
        WorkerCall call = WorkerCall.of(name -> data.consumeString(40));
        if (call.waitMillis() < 1
                || call.memoryEstimate().memoryKb() < 0
                || call.id().contains("\t")) {
            throw new AssertionError(call.toString());
        }
    }

    private static void assertMessageIsShort(InvalidPackageException e) {
        if (e.getMessage().length() > 1000) {
            throw new AssertionError("length of the message: " + e.getMessage().length());
        }
    }
}
