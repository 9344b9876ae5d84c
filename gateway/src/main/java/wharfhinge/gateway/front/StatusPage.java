package wharfhinge.gateway.front;

import java.util.Map;
import java.util.function.Supplier;

/** What a gateway says of itself: lines of a name and a figure. */
public final class StatusPage {
    private final Supplier<Map<String, Long>> figures;

    /** A page of figures, taken anew for each reader. */
    public StatusPage(Supplier<Map<String, Long>> figures) {
        this.figures = figures;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        figures.get()
                .forEach((name, value) ->
                        text.append(name).append(' ').append(value).append('\n'));
        return text.toString().stripTrailing();
    }
}
