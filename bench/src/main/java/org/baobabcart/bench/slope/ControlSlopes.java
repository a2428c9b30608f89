package org.baobabcart.bench.slope;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;

/** Slopes of control cost without requests: nodes, upstreams, workspaces and changes of the sheet. */
final class ControlSlopes {
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final int[] NODES = {6, 12, 24, 48};
    private static final int[] UPSTREAMS = {100, 400, 1_600, 4_800};
    private static final int[] WORKSPACES = {10, 100, 400, 1_600};
    private static final double[] CHANGES_PER_SECOND = {0.25, 0.5, 1, 2};
    private static final int SMALL_FLEET = 6;
    private static final int WORKSPACES_TODAY = 10;
    private static final double BYTES_PER_KILOBYTE = 1e3;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final SheetReader reader = SheetReader.create();
    private int change;

    private ControlSlopes() {}

    static ControlSlopes create() {
        return new ControlSlopes();
    }

    List<Series> measure() {
        List<Series> all = new ArrayList<>();
        try (NodeHost host = NodeHost.start("slopes-control")) {
            host.growTo(SMALL_FLEET);
            publish(host, WORKSPACES_TODAY);
            NodeHost.pause(WARM_UP);
            all.addAll(workspaces(host));
            publish(host, WORKSPACES_TODAY);
            all.addAll(changes(host));
            all.addAll(nodes(host));
        }
        try (NodeHost host = NodeHost.start("slopes-upstreams")) {
            host.growTo(SMALL_FLEET);
            publish(host, WORKSPACES_TODAY);
            all.addAll(upstreams(host));
        }
        return all;
    }

    private List<Series> nodes(NodeHost host) {
        SeriesTable table = SeriesTable.against("nodes");
        for (int count : NODES) {
            host.growTo(count);
            host.await(status -> status.path("members").size() >= count - 1);
            NodeHost.pause(SETTLE);
            Map<String, Double> costs = window(host);
            costs.put("live megabytes a node", NodeHost.liveMegabytes() / count);
            costs.put("seconds until a change is in force everywhere", publish(host, WORKSPACES_TODAY));
            table.add(count, costs);
        }
        return table.series();
    }

    private List<Series> upstreams(NodeHost host) {
        SeriesTable table = SeriesTable.against("upstreams");
        int listed = 0;
        for (int count : UPSTREAMS) {
            host.listUpstreams(listed, count);
            listed = count;
            host.await(status -> status.path("upstreams").size() >= count);
            NodeHost.pause(SETTLE);
            Map<String, Double> costs = window(host);
            costs.put("live megabytes a node", NodeHost.liveMegabytes() / host.nodes());
            table.add(count, costs);
        }
        return table.series();
    }

    private List<Series> workspaces(NodeHost host) {
        SeriesTable table = SeriesTable.against("workspaces");
        for (int count : WORKSPACES) {
            Reading before = host.read();
            double seconds = publish(host, count);
            Reading after = host.read();
            Map<String, Double> costs = new LinkedHashMap<>();
            double bytes =
                    reader.write(Sheets.withWorkspaces(count, 0)).toString().length();
            costs.put("kilobytes of a sheet", bytes / BYTES_PER_KILOBYTE);
            costs.put("live megabytes a node", NodeHost.liveMegabytes() / host.nodes());
            costs.put(
                    "kilobytes written a node and change",
                    (after.bytesWritten() - before.bytesWritten()) / BYTES_PER_KILOBYTE / host.nodes());
            costs.put("seconds until a change is in force everywhere", seconds);
            table.add(count, costs);
        }
        return table.series();
    }

    private List<Series> changes(NodeHost host) {
        SeriesTable table = SeriesTable.against("changes of the sheet a second");
        for (double rate : CHANGES_PER_SECOND) {
            Reading before = host.read();
            long begun = System.nanoTime();
            Duration period = Duration.ofMillis((long) (MILLIS_PER_SECOND / rate));
            long generation = 0;
            while (System.nanoTime() - begun < WINDOW.toNanos()) {
                generation = host.fleet().publish(nextSheet(WORKSPACES_TODAY));
                NodeHost.pause(period);
            }
            awaitGeneration(host, generation);
            table.add(rate, host.read().since(before, host.nodes()));
        }
        return table.series();
    }

    private Map<String, Double> window(NodeHost host) {
        Reading before = host.read();
        NodeHost.pause(WINDOW);
        return host.read().since(before, host.nodes());
    }

    /** Publishes a changed sheet; the result is the time in seconds until every node has it. */
    private double publish(NodeHost host, int workspaces) {
        return awaitGeneration(host, host.fleet().publish(nextSheet(workspaces)));
    }

    private static double awaitGeneration(NodeHost host, long generation) {
        Duration taken =
                host.await(status -> status.path("sheet").path("generation").asLong() >= generation);
        return taken.toMillis() / MILLIS_PER_SECOND;
    }

    private JsonNode nextSheet(int workspaces) {
        change++;
        Sheet sheet = Sheets.withWorkspaces(workspaces, change);
        return reader.write(sheet);
    }
}
