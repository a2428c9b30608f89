package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.view.TrafficViewSource;

/** Gives slots at upstreams to work. Thread-safe. */
public final class Dispatcher {
    private final TrafficViewSource views;
    private final Random random = new Random();
    private final Map<String, Integer> inFlight = new HashMap<>();

    private Dispatcher(TrafficViewSource views) {
        this.views = views;
    }

    /** A dispatcher without work. */
    public static Dispatcher create(TrafficViewSource views) {
        return new Dispatcher(views);
    }

    /** A slot for the work, or a refusal. */
    public synchronized Future<Slot> acquire(Work work) {
        List<VirtualMachine> candidates = new ArrayList<>(views.current().upstreams().stream()
                .filter(work.pool()::includes)
                .toList());
        List<VirtualMachine> untried = candidates.stream()
                .filter(upstream -> !work.avoid().contains(upstream.name()))
                .toList();
        List<VirtualMachine> usable = untried.isEmpty() ? candidates : untried;
        if (usable.isEmpty()) {
            return Future.failedFuture(BaobabcartException.of(ResultCode.NO_UPSTREAM));
        }
        VirtualMachine first = usable.get(random.nextInt(usable.size()));
        VirtualMachine second = usable.get(random.nextInt(usable.size()));
        VirtualMachine chosen = load(first) <= load(second) ? first : second;
        inFlight.merge(chosen.name(), 1, Integer::sum);
        return Future.succeededFuture(new CountedSlot(chosen));
    }

    private int load(VirtualMachine upstream) {
        return inFlight.getOrDefault(upstream.name(), 0);
    }

    private synchronized void released(String upstream) {
        inFlight.computeIfPresent(upstream, (name, count) -> count > 1 ? count - 1 : null);
    }

    private final class CountedSlot implements Slot {
        private final VirtualMachine upstream;
        private final AtomicBoolean open = new AtomicBoolean(true);

        private CountedSlot(VirtualMachine upstream) {
            this.upstream = upstream;
        }

        @Override
        public VirtualMachine upstream() {
            return upstream;
        }

        @Override
        public void release(AttemptResult result) {
            if (open.compareAndSet(true, false)) {
                released(upstream.name());
            }
        }
    }
}
