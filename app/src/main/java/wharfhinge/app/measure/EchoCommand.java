package wharfhinge.app.measure;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.Echo;
import wharfhinge.standin.Net;

/** The peers of a measurement: workers that answer at once, the same over HTTP/1.1, and a bare pass-through. */
@Command(
        name = "echo",
        hidden = true,
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Peers of a measurement.")
final class EchoCommand implements Callable<Integer> {
    @Option(names = "--workers", required = true, description = "How many.")
    private int workers;

    @Override
    public Integer call() throws InterruptedException {
        EventLoopGroup group = Net.group(2);
        int plain = Echo.plain(group);
        int[] plains = new int[workers];
        StringBuilder ports = new StringBuilder("ports ").append(plain);
        for (int i = 0; i < workers; i++) {
            plains[i] = Echo.plain(group);
        }
        ports.append(' ').append(Echo.passThrough(Net.group(2), plains));
        for (int i = 0; i < workers; i++) {
            ports.append(' ').append(Echo.worker(group));
        }
        System.out.println(ports);
        new CountDownLatch(1).await();
        return Program.OK;
    }
}
