package wharfhinge.worker.pack;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * The manifest of a package: the text file {@value #NAME}, its first entry. The first line is {@value #FORMAT_LINE}; then
 * follow lines {@code name=value}, each known name once, and a line {@code file=SHA256 SIZE PATH} for each file. The publisher
 * signs the manifest, so that the signature covers every byte of the package.
 *
 * @param entry       name of the class that implements the function
 * @param memoryMb    memory of a copy in MB
 * @param slots       number of calls that a copy runs concurrently; {@code lanes} in the file
 * @param effect      whether calls may be repeated: {@code idempotent}, {@code keyed} or {@code at-most-once}
 * @param callMillis  time limit of a call
 * @param startMillis time limit of a copy's start
 * @param files       files by path
 */
public record Manifest(
        String name,
        String version,
        String entry,
        int memoryMb,
        int slots,
        String effect,
        int callMillis,
        int startMillis,
        Map<String, FileEntry> files) {
    /** Name of the manifest's entry in a package. */
    public static final String NAME = "manifest";
    /** The first line: the format and its version. */
    public static final String FORMAT_LINE = "wharfhinge-package 1";
    /** Maximum size of a manifest. */
    public static final int MAX_BYTES = 256 << 10;
    /** Maximum memory of a copy: the limit of one mapping. */
    public static final int MAX_MEMORY_MB = 2047;
    /** Maximum number of slots of a copy. */
    public static final int MAX_SLOTS = 256;
    /** Maximum total size of all files, unpacked. */
    public static final long MAX_CONTENT_BYTES = 256L << 20;
    /** Maximum number of files. */
    public static final int MAX_FILES = 2000;

    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9._-]{1,128}");
    private static final Pattern CLASS_NAME =
            Pattern.compile("[A-Za-z_$][A-Za-z0-9_$]*(\\.[A-Za-z_$][A-Za-z0-9_$]*){0,30}");
    private static final Pattern EFFECT = Pattern.compile("idempotent|keyed|at-most-once");
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern PATH = Pattern.compile("classes(/[A-Za-z0-9_$.-]{1,255}){1,32}");
    private static final int MAX_LIMIT_MS = 3_600_000;

    /** Digest of a file in hexadecimal and its size, unpacked. */
    public record FileEntry(String sha256, long size) {}

    /**
     * Parses a manifest.
     *
     * @throws InvalidPackageException with the line, what was found and what is allowed
     */
    public static Manifest parse(byte[] bytes) throws InvalidPackageException {
        if (bytes.length > MAX_BYTES) {
            throw new InvalidPackageException(NAME, "found " + bytes.length + " bytes, allowed: " + MAX_BYTES);
        }
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new InvalidPackageException(NAME, "found bytes that are not UTF-8");
        }
        String[] lines = text.split("\n", -1);
        if (!lines[0].equals(FORMAT_LINE)) {
            throw new InvalidPackageException(
                    NAME + " line 1", "found '" + printable(lines[0]) + "', allowed: " + FORMAT_LINE);
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Map<String, FileEntry> files = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            if (i == lines.length - 1 && lines[i].isEmpty()) {
                break;
            }
            parseLine("line " + (i + 1), lines[i], fields, files);
        }
        Manifest manifest = new Manifest(
                takeText(fields, "name", WORD),
                takeText(fields, "version", WORD),
                takeText(fields, "entry", CLASS_NAME),
                takeNumber(fields, "memory-mb", MAX_MEMORY_MB),
                takeNumber(fields, "lanes", MAX_SLOTS),
                takeText(fields, "effect", EFFECT),
                takeNumber(fields, "call-ms", MAX_LIMIT_MS),
                takeNumber(fields, "start-ms", MAX_LIMIT_MS),
                Collections.unmodifiableMap(files));
        if (!fields.isEmpty()) {
            throw new InvalidPackageException(NAME, "found unknown names " + fields.keySet());
        }
        String entry = "classes/" + manifest.entry.replace('.', '/') + ".class";
        if (!files.containsKey(entry)) {
            throw new InvalidPackageException(NAME, "entry " + manifest.entry + " is not among the files");
        }
        return manifest;
    }

    private static void parseLine(String place, String line, Map<String, String> fields, Map<String, FileEntry> files)
            throws InvalidPackageException {
        int equals = line.indexOf('=');
        if (equals < 1) {
            throw new InvalidPackageException(
                    NAME + " " + place, "found '" + printable(line) + "', allowed: name=value");
        }
        String name = line.substring(0, equals);
        String value = line.substring(equals + 1);
        if (!name.equals("file")) {
            if (fields.put(name, value) != null) {
                throw new InvalidPackageException(NAME + " " + place, name + " stands twice");
            }
            return;
        }
        String[] parts = value.split(" ", 3);
        boolean isWellFormed =
                parts.length == 3 && SHA256_HEX.matcher(parts[0]).matches() && parts[1].matches("[0-9]{1,10}");
        if (!isWellFormed) {
            throw new InvalidPackageException(
                    NAME + " " + place,
                    "found '" + printable(value) + "', allowed: SHA-256 in 64 hexadecimal digits, size, path");
        }
        checkPath(NAME + " " + place, parts[2]);
        if (files.put(parts[2], new FileEntry(parts[0], Long.parseLong(parts[1]))) != null) {
            throw new InvalidPackageException(NAME + " " + place, parts[2] + " stands twice");
        }
        long contentBytes = files.values().stream().mapToLong(FileEntry::size).sum();
        if (contentBytes > MAX_CONTENT_BYTES || files.size() > MAX_FILES) {
            throw new InvalidPackageException(
                    NAME + " " + place,
                    "found " + files.size() + " files of " + contentBytes + " bytes so far, allowed: " + MAX_FILES
                            + " of " + MAX_CONTENT_BYTES);
        }
    }

    /** Rejects a path that could lead outside {@code classes/}, whatever program interprets it. */
    static void checkPath(String place, String path) throws InvalidPackageException {
        boolean hasDotSegment = false;
        for (String part : path.split("/", -1)) {
            hasDotSegment |= part.equals("..") || part.equals(".");
        }
        if (hasDotSegment || !PATH.matcher(path).matches()) {
            throw new InvalidPackageException(
                    place,
                    "found path '" + printable(path)
                            + "', allowed: classes/ and names of letters, digits, '_', '$', '.', '-', without dot segments");
        }
    }

    private static String takeText(Map<String, String> fields, String name, Pattern allowed)
            throws InvalidPackageException {
        String value = fields.remove(name);
        if (value == null) {
            throw new InvalidPackageException(NAME, name + " is missing");
        }
        if (value.length() > 512 || !allowed.matcher(value).matches()) {
            throw new InvalidPackageException(NAME, name + ": found '" + printable(value) + "', allowed: " + allowed);
        }
        return value;
    }

    private static int takeNumber(Map<String, String> fields, String name, int max) throws InvalidPackageException {
        String value = fields.remove(name);
        int number = value != null && value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : 0;
        if (number < 1 || number > max) {
            throw new InvalidPackageException(NAME, name + ": found '" + printable(value) + "', allowed: 1 to " + max);
        }
        return number;
    }

    /** Shortens untrusted text and replaces characters outside printable ASCII, for error messages. */
    private static String printable(String value) {
        if (value == null) {
            return "nothing";
        }
        String cut = value.length() > 60 ? value.substring(0, 60) + "..." : value;
        return cut.replaceAll("[^\\x20-\\x7e]", "?");
    }

    /** Formats the manifest; {@link #parse} of the result gives an equal manifest. */
    public byte[] format() {
        StringBuilder text = new StringBuilder(FORMAT_LINE).append('\n');
        text.append("name=")
                .append(name)
                .append("\nversion=")
                .append(version)
                .append("\nentry=")
                .append(entry)
                .append("\nmemory-mb=")
                .append(memoryMb)
                .append("\nlanes=")
                .append(slots)
                .append("\neffect=")
                .append(effect)
                .append("\ncall-ms=")
                .append(callMillis)
                .append("\nstart-ms=")
                .append(startMillis)
                .append('\n');
        files.forEach((path, fileEntry) -> text.append("file=")
                .append(fileEntry.sha256)
                .append(' ')
                .append(fileEntry.size)
                .append(' ')
                .append(path)
                .append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
