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

/** Parsers of what others send: whatever comes, they refuse with a reason or take it. Without JAZZER_FUZZ only seeds run. */
class ParsersFuzzTest {

    @FuzzTest(maxDuration = "10m")
    void manifest(byte[] bytes) {
        try {
            Manifest read = Manifest.parse(bytes);
            if (!read.equals(Manifest.parse(read.format()))) {
                throw new AssertionError("written, it reads otherwise");
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
            throw new AssertionError("a message of " + e.getMessage().length());
        }
    }
}
