package wharfhinge.gateway.front;

import java.util.Map;
import java.util.function.Supplier;

/** The status page: one line with key and value for each metric. */
public final class StatusPage {
    private final Supplier<Map<String, Long>> metrics;

    /** Creates a page whose metrics are read on each request. */
    public StatusPage(Supplier<Map<String, Long>> metrics) {
        this.metrics = metrics;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        metrics.get()
                .forEach((name, value) ->
                        text.append(name).append(' ').append(value).append('\n'));
        return text.toString().stripTrailing();
    }
}
