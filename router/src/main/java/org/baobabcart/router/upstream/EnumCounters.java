package org.baobabcart.router.upstream;

import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** A counter for each constant of an enum. Thread-safe. */
final class EnumCounters<E extends Enum<E>> {
    private final Map<E, LongAdder> counts;

    private EnumCounters(Class<E> type) {
        counts = new EnumMap<>(type);
        for (E value : type.getEnumConstants()) {
            counts.put(value, new LongAdder());
        }
    }

    static <E extends Enum<E>> EnumCounters<E> of(Class<E> type) {
        return new EnumCounters<>(type);
    }

    void increment(E value) {
        counts.get(value).increment();
    }

    /** Registers the counters of constants, named by a prefix and the constant. */
    void register(MetricRegistry metrics, String prefix, List<E> values) {
        for (E value : values) {
            String name = value.name().toLowerCase(Locale.ROOT).replace('_', '-');
            metrics.gauge(prefix + "-" + name, () -> counts.get(value)::sum);
        }
    }
}
