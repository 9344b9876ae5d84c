package wharfhinge.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Binds a port that a former process may still hold: where ports can't be shared, as soon as it is released. */
final class PortBinding {
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private PortBinding() {}

    /** Retries for at most {@code timeoutNanos} while the address is in use; throws the last attempt's exception. */
    static Channel bindWithin(long timeoutNanos, Supplier<ChannelFuture> bind) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutNanos;
        while (true) {
            ChannelFuture bound = bind.get().await();
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (System.nanoTime() >= deadline || !isAddressInUse(bound.cause())) {
                return bound.sync().channel(); // throws
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
        }
    }

    /** The native transport has an exception of its own for that. */
    private static boolean isAddressInUse(Throwable cause) {
        return cause instanceof BindException
                || String.valueOf(cause.getMessage()).contains("Address already in use");
    }
}
