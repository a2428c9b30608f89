package org.baobabcart.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts requests under way to each target. Thread-safe. */
final class Targets {
    private final List<String> addresses;
    private final Map<String, AtomicInteger> underWay = new ConcurrentHashMap<>();

    private Targets(List<String> addresses) {
        this.addresses = addresses;
        addresses.forEach(address -> underWay.put(address, new AtomicInteger()));
    }

    static Targets of(List<String> addresses) {
        return new Targets(addresses);
    }

    /** The request with the target that the choice gives it. */
    PlannedRequest aim(PlannedRequest request, TargetChoice choice) {
        if (choice == TargetChoice.ROUND_ROBIN) {
            return request;
        }
        String least = addresses.get(0);
        for (String address : addresses) {
            if (underWay.get(address).get() < underWay.get(least).get()) {
                least = address;
            }
        }
        return request.withTarget(least);
    }

    void begun(PlannedRequest request) {
        underWay.get(request.target()).incrementAndGet();
    }

    void ended(PlannedRequest request) {
        underWay.get(request.target()).decrementAndGet();
    }
}
