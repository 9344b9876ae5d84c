package wharfhinge.worker.pack;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.PublicKey;
import java.util.List;
import java.util.Map;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Building and reading of packages, valid and invalid. */
class PackageTest {
    private static final Manifest DESCRIPTION = new Manifest("n", "1", "a.B", 8, 1, "keyed", 10, 10, Map.of());
    private static final Map<String, byte[]> FILES =
            Map.of("classes/a/B.class", new byte[] {1, 2, 3}, "classes/c", new byte[5000]);

    @TempDir
    private Path folder;

    private static byte[] zip(Object... namesAndBytes) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (ZipOutputStream zip = new ZipOutputStream(out)) {
            for (int i = 0; i < namesAndBytes.length; i += 2) {
                zip.putNextEntry(new ZipEntry((String) namesAndBytes[i]));
                zip.write((byte[]) namesAndBytes[i + 1]);
            }
        }
        return out.toByteArray();
    }

    private static byte[] manifest(String... files) {
        StringBuilder text = new StringBuilder(Manifest.FORMAT_LINE
                + "\nname=n\nversion=1\nentry=a.B\nmemory-mb=8\nlanes=1\n" + "effect=keyed\ncall-ms=10\nstart-ms=10\n");
        for (String file : files) {
            text.append("file=").append(file).append('\n');
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String fileLine(byte[] bytes, String path) {
        return Digests.of(bytes) + " " + bytes.length + " " + path;
    }

    private static String rejectionMessage(byte[] bytes, PublicKey... keys) {
        return assertThrows(
                        InvalidPackageException.class,
                        () -> PackageReader.read(new ByteArrayInputStream(bytes), List.of(keys)))
                .getMessage();
    }

    @Test
    void signedPackage_isReadWithTheSameContent() throws Exception {
        Keys.generate(folder.resolve("k"));
        Keys.generate(folder.resolve("other"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Manifest written = PackageBuilder.write(DESCRIPTION, FILES, Keys.privateKey(folder.resolve("k")), out);
        PublicKey key = Keys.publicKey(folder.resolve("k.pub"));
        PackageReader.Contents read = PackageReader.read(new ByteArrayInputStream(out.toByteArray()), List.of(key));
        assertEquals(written, read.manifest());
        assertArrayEquals(FILES.get("classes/c"), read.files().get("classes/c"));
        assertTrue(rejectionMessage(out.toByteArray(), Keys.publicKey(folder.resolve("other.pub")))
                .contains("none of the 1 trusted"));
        ByteArrayOutputStream plain = new ByteArrayOutputStream();
        PackageBuilder.write(DESCRIPTION, FILES, null, plain);
        assertTrue(rejectionMessage(plain.toByteArray(), key).contains("only signed packages"));
        ByteArrayOutputStream again = new ByteArrayOutputStream();
        PackageBuilder.write(DESCRIPTION, FILES, null, again);
        assertArrayEquals(plain.toByteArray(), again.toByteArray(), "the same input gives the same bytes");
    }

    @Test
    void signatureOfAnotherManifest_isRejected() throws Exception {
        Keys.generate(folder.resolve("k"));
        byte[] content = {1};
        byte[] signature =
                Keys.sign(Keys.privateKey(folder.resolve("k")), manifest(fileLine(content, "classes/a/B.class"), "x"));
        byte[] forged = zip(
                "manifest",
                manifest(fileLine(content, "classes/a/B.class")),
                "signature",
                signature,
                "classes/a/B.class",
                content);
        assertTrue(rejectionMessage(forged, Keys.publicKey(folder.resolve("k.pub")))
                .contains("trusted keys"));
    }

    @Test
    void zipBomb_isRejectedAtItsStatedSize() throws Exception {
        byte[] small = {1};
        byte[] bomb = zip(
                "manifest", manifest(fileLine(small, "classes/a/B.class")), "classes/a/B.class", new byte[50 << 20]);
        assertTrue(rejectionMessage(bomb).contains("unpacks to more than 1 bytes"));
        assertTrue(rejectionMessage(zip("manifest", new byte[Manifest.MAX_BYTES + 1]))
                .contains("unpacks to more"));
        assertTrue(rejectionMessage(zip("manifest", manifest("0".repeat(64) + " 999999999 classes/a/B.class")))
                .contains("allowed: 2000 of"));
    }

    @Test
    void filesThatDifferFromTheManifest_areRejected() throws Exception {
        byte[] content = {1};
        byte[] manifest = manifest(fileLine(content, "classes/a/B.class"));
        assertTrue(rejectionMessage(zip("manifest", manifest, "classes/x", content))
                .contains("not in the manifest"));
        assertTrue(rejectionMessage(zip("manifest", manifest, "classes/../../x", content))
                .contains("without dot segments"));
        assertTrue(
                rejectionMessage(zip("manifest", manifest, "/etc/x", content)).contains("without dot segments"));
        assertTrue(rejectionMessage(zip("manifest", manifest)).contains("not in the zip"));
        assertTrue(rejectionMessage(zip("manifest", manifest, "classes/a/B.class", new byte[] {2}))
                .contains("wrong digest"));
        assertTrue(rejectionMessage(zip(
                        "manifest",
                        manifest(Digests.of(content) + " 2 classes/a/B.class"),
                        "classes/a/B.class",
                        content))
                .contains("stated: 2"));
        assertTrue(rejectionMessage(zip("classes/a/B.class", content)).contains("first entry"));
        assertTrue(rejectionMessage(new byte[0]).contains("first entry"));
        byte[] packageBytes = zip("manifest", manifest, "classes/a/B.class", content);
        packageBytes[45] ^= 0x55;
        assertTrue(rejectionMessage(packageBytes).length() > 0);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "wharfhinge-package 1|wharfhinge-package 2|line 1: found",
                "name=n|name=a b|name: found 'a b'",
                "name=n|nam=n|name is missing",
                "lanes=1|lanes=0|lanes: found '0', allowed: 1 to 256",
                "memory-mb=8|memory-mb=4096|allowed: 1 to 2047",
                "effect=keyed|effect=none|effect: found 'none'",
                "entry=a.B|entry=a.C|entry a.C is not among the files",
                "entry=a.B|entry=a.B;colour=1|unknown names [colour]",
                "start-ms=10|start-ms=10;start-ms=10|start-ms stands twice",
                "start-ms=10|start-ms|allowed: name=value",
                "classes/a/B.class|classes/../B.class|without dot segments",
                "classes/a/B.class|other/B.class|found path 'other/B.class'"
            })
    void invalidManifest_isRejectedWithThePlace(String part, String wrong, String expected) {
        String text = new String(manifest(fileLine(new byte[] {1}, "classes/a/B.class")), StandardCharsets.UTF_8)
                .replace(part, wrong.replace(';', '\n'));
        String message = assertThrows(
                        InvalidPackageException.class, () -> Manifest.parse(text.getBytes(StandardCharsets.UTF_8)))
                .getMessage();
        assertTrue(message.contains(expected), message);
    }
}
