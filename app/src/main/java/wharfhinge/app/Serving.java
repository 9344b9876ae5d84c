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

/** The life of a gateway process. */
public final class Serving {

    private Serving() {}

    /**
     * Serves with the given decisions; returns once the gateway has stopped.
     *
     * @param onCreated given the gateway before it is warmed up
     */
    public static int serve(
            Path file,
            DispatcherFactory decisions,
            UnaryOperator<GatewayConfig> changed,
            UnaryOperator<EndpointSource> heard,
            Consumer<Gateway> onCreated)
            throws InterruptedException {
        GatewayConfig config;
        try {
            config = changed.apply(GatewayConfig.load(file));
        } catch (InvalidConfigurationException e) {
            System.err.println(e.getMessage());
            return Program.WANTING;
        }
        Logs.set(config.log());
        Gateway gateway = new Gateway(
                config, decisions, (group, type) -> heard.apply(new HttpEndpointSource(config, group, type)));
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
