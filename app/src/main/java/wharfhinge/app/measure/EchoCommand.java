package wharfhinge.app.measure;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.EchoServers;
import wharfhinge.standin.LoopbackServers;

/** Runs the peers of a measurement: workers that respond at once, HTTP/1.1 servers that do the same, and a bare pass-through. */
@Command(
        name = "echo",
        hidden = true,
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Runs the peers of a measurement and prints their ports.")
final class EchoCommand implements Callable<Integer> {
    @Option(names = "--workers", required = true, description = "Number of workers.")
    private int workers;

    @Override
    public Integer call() throws InterruptedException {
        EventLoopGroup group = LoopbackServers.group(2);
        int directPort = EchoServers.plain(group);
        int[] httpPorts = new int[workers];
        StringBuilder ports = new StringBuilder("ports ").append(directPort);
        for (int i = 0; i < workers; i++) {
            httpPorts[i] = EchoServers.plain(group);
        }
        ports.append(' ').append(EchoServers.passThrough(LoopbackServers.group(2), httpPorts));
        for (int i = 0; i < workers; i++) {
            ports.append(' ').append(EchoServers.worker(group));
        }
        System.out.println(ports);
        new CountDownLatch(1).await();
        return Program.OK;
    }
}
