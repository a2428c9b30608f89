package org.baobabcart.bench.slope;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counters of a process and of the platform stand-in at one moment. Immutable.
 *
 * @param nanoTime when
 * @param cpuNanos processor time of the process
 * @param bytesWritten bytes that the process wrote, almost all of them to sockets
 * @param bytesRead bytes that the process read
 * @param platformReads reads that the platform counted
 * @param platformWrites writes that the platform counted
 * @param platformWatches watches that the platform counted
 */
record Reading(
        long nanoTime,
        long cpuNanos,
        long bytesWritten,
        long bytesRead,
        long platformReads,
        long platformWrites,
        long platformWatches) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    /** Reads the counters of a process of this machine. */
    static Reading of(long pid, JsonNode platformCalls) {
        long cpu = ProcessHandle.of(pid)
                .flatMap(handle -> handle.info().totalCpuDuration())
                .orElse(Duration.ZERO)
                .toNanos();
        return new Reading(
                System.nanoTime(),
                cpu,
                counter(pid, "wchar"),
                counter(pid, "rchar"),
                platformCalls.path("reads").asLong(),
                platformCalls.path("writes").asLong(),
                platformCalls.path("watches").asLong());
    }

    /** Costs for each node and second since an earlier reading, and calls of all nodes to the platform. */
    Map<String, Double> since(Reading before, int nodes) {
        double seconds = (nanoTime - before.nanoTime) / NANOS_PER_SECOND;
        Map<String, Double> costs = new LinkedHashMap<>();
        costs.put(
                "cpu percent of a core a node",
                PERCENT * (cpuNanos - before.cpuNanos) / NANOS_PER_SECOND / seconds / nodes);
        costs.put("bytes written a node and second", (bytesWritten - before.bytesWritten) / seconds / nodes);
        costs.put("bytes read a node and second", (bytesRead - before.bytesRead) / seconds / nodes);
        costs.put("platform reads a second, all nodes", (platformReads - before.platformReads) / seconds);
        costs.put("platform writes a second, all nodes", (platformWrites - before.platformWrites) / seconds);
        costs.put("platform watches a second, all nodes", (platformWatches - before.platformWatches) / seconds);
        return costs;
    }

    private static long counter(long pid, String name) {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(pid), "io")).stream()
                    .filter(line -> line.startsWith(name + ":"))
                    .mapToLong(line ->
                            Long.parseLong(line.substring(name.length() + 1).strip()))
                    .findFirst()
                    .orElse(0);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
