package org.baobabcart.launcher;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Starts processes in parallel, with a concurrency limit that leaves processors free for other work. */
final class ParallelStart {
    private static final int MAX_CONCURRENT_STARTS = 4;

    private ParallelStart() {}

    /** Starts the processes and adds those that became ready to {@code started}. Throws if any process failed to start. */
    static List<ManagedProcess> startAll(List<ProcessSettings> settings, List<ManagedProcess> started) {
        ExecutorService executor = Executors.newFixedThreadPool(MAX_CONCURRENT_STARTS);
        try {
            List<Future<ManagedProcess>> starts = settings.stream()
                    .map(process -> executor.submit(() -> ManagedProcess.start(process)))
                    .toList();
            return collect(starts, started);
        } finally {
            executor.shutdown();
        }
    }

    private static List<ManagedProcess> collect(List<Future<ManagedProcess>> starts, List<ManagedProcess> started) {
        List<ManagedProcess> processes = new ArrayList<>();
        List<Throwable> failures = new ArrayList<>();
        for (Future<ManagedProcess> start : starts) {
            try {
                processes.add(start.get());
            } catch (ExecutionException exception) {
                failures.add(exception.getCause());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                failures.add(exception);
            }
        }
        started.addAll(processes);
        if (!failures.isEmpty()) {
            throw BaobabcartException.of(
                            ResultCode.COMMAND_TIMEOUT, failures.get(0).getMessage())
                    .withCause(failures.get(0));
        }
        return processes;
    }
}
