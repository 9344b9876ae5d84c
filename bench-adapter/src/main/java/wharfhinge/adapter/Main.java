package wharfhinge.adapter;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line of the jar: {@code adapter} serves the line protocol on standard input and output. */
public final class Main {

    private Main() {}

    /** Runs the adapter; exits with 0 at end of input, 1 on malformed input, 2 on wrong usage. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar wharfhinge-adapter.jar adapter");
            System.exit(2);
        }
        try {
            new Session(
                            new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                            new FileOutputStream(FileDescriptor.out))
                    .run();
        } catch (MalformedInputException | IOException e) {
            System.err.println("wharfhinge: " + e.getMessage());
            System.exit(1);
        }
    }
}
