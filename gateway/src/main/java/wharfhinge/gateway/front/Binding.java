package wharfhinge.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Binds a port that a former process may still hold: where ports can't be shared, as soon as it lets go. */
final class Binding {
    private static final long PAUSE_MS = 50;

    private Binding() {}

    /** The channel; tries again for so long. The last try's exception is thrown as it is. */
    static Channel within(long ns, Supplier<ChannelFuture> bind) throws InterruptedException {
        long end = System.nanoTime() + ns;
        while (true) {
            ChannelFuture bound = bind.get().await();
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (System.nanoTime() >= end || !taken(bound.cause())) {
                return bound.sync().channel(); // throws
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
    }

    /** The native transport has an exception of its own for it. */
    private static boolean taken(Throwable cause) {
        return cause instanceof BindException
                || String.valueOf(cause.getMessage()).contains("Address already in use");
    }
}
