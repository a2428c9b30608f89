package org.baobabcart.policy.configuration;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.ConfigurationEntries;
import org.baobabcart.model.gateway.KeyHolder;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.ServiceEntry;
import org.baobabcart.policy.configuration.ConfigurationChange.Effect;

/** Compares two configurations by what they do to requests. Not thread-safe. */
public final class ConfigurationChanges {
    private static final int NANOSECOND_DIGITS_OF_MILLIS = 6;

    private final ConfigurationEntries before;
    private final ConfigurationEntries after;
    private final RouteTable tableBefore;
    private final RouteTable tableAfter;
    private final List<ConfigurationChange> changes = new ArrayList<>();

    private ConfigurationChanges(ConfigurationEntries before, ConfigurationEntries after) {
        this.before = before;
        this.after = after;
        this.tableBefore = before.routeTable();
        this.tableAfter = after.routeTable();
    }

    /** Returns the changes of effect, routes first. */
    public static List<ConfigurationChange> between(ConfigurationEntries before, ConfigurationEntries after) {
        ConfigurationChanges comparison = new ConfigurationChanges(before, after);
        comparison.compareRoutes();
        comparison.compareKeys();
        comparison.compareServices();
        comparison.compareLimits();
        return List.copyOf(comparison.changes);
    }

    private void compareRoutes() {
        Map<RouteKey, Route> old = effective(before);
        Map<RouteKey, Route> now = effective(after);
        old.forEach((key, route) -> {
            if (!now.containsKey(key)) {
                add(Effect.ROUTE_DROPPED, key.toString(), "requests now get " + answer(tableAfter, key));
            }
        });
        now.forEach((key, route) -> {
            Route earlier = old.get(key);
            if (earlier == null) {
                String message = "requests go to %s; before they got %s"
                        .formatted(RouteShares.of(route), answer(tableBefore, key));
                add(Effect.ROUTE_ADDED, key.toString(), message);
            } else {
                compare(key.toString(), earlier, route);
            }
        });
    }

    private static Map<RouteKey, Route> effective(ConfigurationEntries entries) {
        Map<RouteKey, Route> routes = new LinkedHashMap<>();
        entries.routes().forEach(route -> routes.putIfAbsent(RouteKey.of(route), route));
        return routes;
    }

    /** Returns what requests of a prefix get from a table in which no route has this prefix. */
    private static String answer(RouteTable table, RouteKey key) {
        return table.route(key.host(), key.prefix())
                .map(route -> "route " + route.name() + " (" + RouteShares.of(route) + ")")
                .orElse("404");
    }

    private void compare(String subject, Route old, Route now) {
        RouteShares oldShares = RouteShares.of(old);
        RouteShares newShares = RouteShares.of(now);
        if (!oldShares.equals(newShares)) {
            add(Effect.ROUTE_MOVED, subject, "requests go to " + newShares + "; before to " + oldShares);
        }
        compareTimes(Effect.ROUTE_CHANGED, subject, "time-out", old.timeout(), now.timeout());
        compareTimes(Effect.ROUTE_CHANGED, subject, "latency target", old.latencyTarget(), now.latencyTarget());
        compareTimes(
                Effect.ROUTE_CHANGED, subject, "target between two events", old.eventGapTarget(), now.eventGapTarget());
        compare(Effect.ROUTE_CHANGED, subject, "attempts", old.maxAttempts(), now.maxAttempts());
        compare(Effect.ROUTE_CHANGED, subject, "retries", old.retryPolicy(), now.retryPolicy());
        compare(Effect.ROUTE_CHANGED, subject, "rank", old.rank(), now.rank());
        compare(Effect.ROUTE_CHANGED, subject, "open without key", old.anonymous(), now.anonymous());
        compare(Effect.ROUTE_CHANGED, subject, "prefix affinity", old.prefixAffinity(), now.prefixAffinity());
        compare(Effect.ROUTE_CHANGED, subject, "models to choose from", old.sizes(), now.sizes());
        compare(Effect.ROUTE_CHANGED, subject, "name", old.name(), now.name());
    }

    private void compareKeys() {
        boolean requiredBefore = tableBefore.keysRequired();
        compare(Effect.KEYS_REQUIRED, "all routes", "keys required", requiredBefore, tableAfter.keysRequired());
        Map<String, KeyHolder> old = before.holders();
        Map<String, KeyHolder> now = after.holders();
        Map<String, Integer> added = new TreeMap<>();
        Map<String, Integer> withdrawn = new TreeMap<>();
        Map<String, Integer> moved = new TreeMap<>();
        old.forEach((key, holder) -> {
            KeyHolder later = now.get(key);
            if (later == null) {
                withdrawn.merge(holder.workspace(), 1, Integer::sum);
            } else if (!later.equals(holder)) {
                String message = HolderText.of(later) + ", before " + HolderText.of(holder);
                moved.merge(message, 1, Integer::sum);
            }
        });
        now.forEach((key, holder) -> {
            if (!old.containsKey(key)) {
                added.merge(holder.workspace(), 1, Integer::sum);
            }
        });
        withdrawn.forEach((subject, count) -> add(Effect.KEYS_WITHDRAWN, subject, "keys no longer accepted: " + count));
        added.forEach((subject, count) -> add(Effect.KEYS_ADDED, subject, "keys newly accepted: " + count));
        moved.forEach((subject, count) -> add(Effect.KEYS_MOVED, subject, "keys that changed hands or rank: " + count));
    }

    private void compareServices() {
        TreeSet<String> names = new TreeSet<>();
        before.services().stream().map(ServiceEntry::name).forEach(names::add);
        after.services().stream().map(ServiceEntry::name).forEach(names::add);
        for (String name : names) {
            compare(
                    Effect.SERVICE_CHANGED,
                    name,
                    "health check",
                    tableBefore.healthPath(name),
                    tableAfter.healthPath(name));
            compare(Effect.SERVICE_CHANGED, name, "warm-up", warmUp(tableBefore, name), warmUp(tableAfter, name));
        }
    }

    private static String warmUp(RouteTable table, String service) {
        return table.warmUp(service)
                .map(warmUp -> millis(warmUp.duration()) + " at " + warmUp.requestsPerSecond() + " requests a second")
                .orElse("none");
    }

    private void compareLimits() {
        CallerLimits old = before.limits();
        CallerLimits now = after.limits();
        String subject = "all callers";
        compare(Effect.LIMITS_CHANGED, subject, "header bytes", old.maxHeaderBytes(), now.maxHeaderBytes());
        compare(Effect.LIMITS_CHANGED, subject, "body bytes", old.maxBodyBytes(), now.maxBodyBytes());
        compareTimes(Effect.LIMITS_CHANGED, subject, "time-out of arrival", old.headerTimeout(), now.headerTimeout());
        compareTimes(Effect.LIMITS_CHANGED, subject, "idle time-out", old.idleTimeout(), now.idleTimeout());
    }

    private void compareTimes(Effect effect, String subject, String value, Duration old, Duration now) {
        compare(effect, subject, value, millis(old), millis(now));
    }

    private static String millis(Duration duration) {
        BigDecimal millis = BigDecimal.valueOf(duration.toNanos(), NANOSECOND_DIGITS_OF_MILLIS);
        return millis.stripTrailingZeros().toPlainString() + " ms";
    }

    private void compare(Effect effect, String subject, String value, Object old, Object now) {
        if (!Objects.equals(old, now)) {
            add(effect, subject, "%s: %s, before %s".formatted(value, now, old));
        }
    }

    private void add(Effect effect, String subject, String message) {
        changes.add(new ConfigurationChange(effect, subject, message));
    }
}
