package org.baobabcart.load;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks the number of active requests per target and selects targets. Thread-safe. */
final class Targets {
    private final List<String> addresses;
    private final Map<String, AtomicInteger> activeRequests = new ConcurrentHashMap<>();

    private Targets(List<String> addresses) {
        this.addresses = addresses;
        addresses.forEach(address -> activeRequests.put(address, new AtomicInteger()));
    }

    static Targets of(List<String> addresses) {
        return new Targets(addresses);
    }

    /** Returns the request with the target selected by the strategy. */
    PlannedRequest select(PlannedRequest request, TargetChoice choice) {
        if (choice == TargetChoice.ROUND_ROBIN) {
            return request;
        }
        String least = addresses.get(0);
        for (String address : addresses) {
            if (activeRequests.get(address).get() < activeRequests.get(least).get()) {
                least = address;
            }
        }
        return request.withTarget(least);
    }

    void requestStarted(PlannedRequest request) {
        activeRequests.get(request.target()).incrementAndGet();
    }

    void requestEnded(PlannedRequest request) {
        activeRequests.get(request.target()).decrementAndGet();
    }
}
