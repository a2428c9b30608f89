package org.baobabcart.policy.configuration;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.WeightedService;

/**
 * The share of a route's requests that each of its services gets. Equal for splits of equal effect. Immutable.
 *
 * @param byService the shares above 0, which add up to 1
 */
record RouteShares(Map<String, Double> byService) {
    static RouteShares of(Route route) {
        double total = totalWeight(route);
        Map<String, Double> weights = new TreeMap<>();
        for (WeightedService service : route.services()) {
            weights.merge(service.service(), service.weight(), Double::sum);
        }
        if (total == 0) {
            return new RouteShares(
                    Map.of(route.services().get(route.services().size() - 1).service(), 1.0));
        }
        Map<String, Double> shares = new TreeMap<>();
        weights.forEach((service, weight) -> {
            if (weight > 0) {
                shares.put(service, weight / total);
            }
        });
        return new RouteShares(shares);
    }

    static double totalWeight(Route route) {
        return route.services().stream().mapToDouble(WeightedService::weight).sum();
    }

    @Override
    public String toString() {
        return byService.entrySet().stream()
                .map(entry -> entry.getValue() == 1
                        ? entry.getKey()
                        : String.format(Locale.ROOT, "%s %.1f%%", entry.getKey(), entry.getValue() * 100))
                .collect(Collectors.joining(", "));
    }
}
