package wharfhinge.app;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import wharfhinge.config.GatewayConfig;
import wharfhinge.config.InvalidConfigurationException;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;
import wharfhinge.gateway.Gateway;
import wharfhinge.gateway.discovery.HttpEndpointSource;

/** Runs a gateway in this process until the process gets a signal to stop. */
public final class GatewayRunner {

    private GatewayRunner() {}

    /**
     * Starts a gateway and returns the exit code of the process once the gateway has stopped.
     *
     * @param configFile the settings of the gateway
     * @param dispatchers creates the dispatcher that decides where calls go
     * @param configChange applied to the settings that were read
     * @param endpointSourceWrapper applied to each source of endpoint updates
     * @param onCreated receives the gateway before its warm-up
     */
    public static int serve(
            Path configFile,
            DispatcherFactory dispatchers,
            UnaryOperator<GatewayConfig> configChange,
            UnaryOperator<EndpointSource> endpointSourceWrapper,
            Consumer<Gateway> onCreated)
            throws InterruptedException {
        GatewayConfig config;
        try {
            config = configChange.apply(GatewayConfig.load(configFile));
        } catch (InvalidConfigurationException e) {
            System.err.println(e.getMessage());
            return Program.FAILURE;
        }
        Logs.configure(config.log());
        Gateway gateway = new Gateway(
                config,
                dispatchers,
                (group, type) -> endpointSourceWrapper.apply(new HttpEndpointSource(config, group, type)));
        onCreated.accept(gateway);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                gateway.stop();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            Logs.flush();
                            stopped.countDown();
                        },
                        "stop"));
        gateway.warmUp();
        gateway.start();
        stopped.await();
        return Program.OK;
    }
}
