package wharfhinge.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Binds a port that the process being replaced may still hold. If the port cannot be shared, it is bound once that process releases it. */
final class PortBinding {
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private PortBinding() {}

    /** Retries for at most {@code timeoutNanos} while the address is in use. Throws the exception of the last attempt. */
    static Channel bindWithin(long timeoutNanos, Supplier<ChannelFuture> bind) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutNanos;
        while (true) {
            ChannelFuture bound = bind.get().await();
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (System.nanoTime() >= deadline || !isAddressInUse(bound.cause())) {
                return bound.sync().channel(); // throws the cause
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
        }
    }

    /** The native transport throws its own exception type, which only its message identifies. */
    private static boolean isAddressInUse(Throwable cause) {
        return cause instanceof BindException
                || String.valueOf(cause.getMessage()).contains("Address already in use");
    }
}
