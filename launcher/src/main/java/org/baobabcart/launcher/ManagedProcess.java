package org.baobabcart.launcher;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Manages a child process: its ports, its log file and the signals sent to it.
 *
 * <p>Not thread-safe. Child processes that are still alive are killed when this Java virtual machine exits.
 */
public final class ManagedProcess implements AutoCloseable {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(30);
    private static final Set<Process> CHILDREN = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> CHILDREN.forEach(Process::destroyForcibly)));
    }

    private ProcessSettings settings;
    private Process process;

    private ManagedProcess(ProcessSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts a process and waits until it prints its ready line.
     *
     * @throws BaobabcartException with {@link ResultCode#COMMAND_TIMEOUT} if the process does not become ready
     */
    public static ManagedProcess start(ProcessSettings settings) {
        ManagedProcess managed = new ManagedProcess(settings);
        managed.launch();
        return managed;
    }

    /** Returns the process's name. */
    public String name() {
        return settings.name();
    }

    /** Returns the number of a named port. */
    public int port(String portName) {
        return Optional.ofNullable(settings.ports().get(portName)).orElseThrow();
    }

    /** Returns the loopback URL of a named port. */
    public String url(String portName) {
        return "http://127.0.0.1:" + port(portName);
    }

    /** Returns the process id assigned by the operating system. */
    public long pid() {
        return process.pid();
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the log file, which receives the standard output and standard error of the process. */
    public Path logFile() {
        return settings.logDirectory().resolve(settings.name() + ".log");
    }

    /** Kills the process as {@code kill -9} does and waits for it to exit. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(KILL_TIMEOUT);
    }

    /** Suspends the process with SIGSTOP until {@link #resume}. */
    public void pause() {
        signal("STOP");
    }

    /** Resumes a paused process with SIGCONT. */
    public void resume() {
        signal("CONT");
    }

    /** Sends SIGTERM without waiting for the process to exit. */
    public void requestStop() {
        signal("TERM");
    }

    /** Sends SIGTERM, waits for the process to exit and returns its exit code. */
    public int terminate(Duration timeout) {
        requestStop();
        return awaitExit(timeout);
    }

    /** Waits for the process to exit and returns its exit code. */
    public int awaitExit(Duration timeout) {
        try {
            if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                throw BaobabcartException.of(ResultCode.COMMAND_TIMEOUT, "the process did not exit in time")
                        .withLocation(name());
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.INTERNAL, "interrupted").withCause(exception);
        }
        CHILDREN.remove(process);
        return process.exitValue();
    }

    /** Restarts a process that has exited, on the same ports. */
    public void restart() {
        launch();
    }

    /** Restarts a process that has exited, on the same ports but with new settings. */
    public void restart(ProcessSettings newSettings) {
        Map<String, Integer> ports = settings.ports();
        settings = newSettings.withPorts(ports);
        launch();
    }

    /** Returns the settings of the process, including its ports. */
    public ProcessSettings settings() {
        return settings;
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            kill();
        }
    }

    private void launch() {
        try {
            Files.createDirectories(settings.logDirectory());
            process = new ProcessBuilder(settings.command())
                    .redirectError(ProcessBuilder.Redirect.appendTo(logFile().toFile()))
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        CHILDREN.add(process);
        settings = settings.withPorts(awaitReady().ports());
    }

    private ReadyLine awaitReady() {
        CompletableFuture<ReadyLine> ready = new CompletableFuture<>();
        Thread reader = new Thread(() -> readOutput(ready), "output of " + name());
        reader.setDaemon(true);
        reader.start();
        try {
            return ready.get(READY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException exception) {
            process.destroyForcibly();
            throw BaobabcartException.of(
                            ResultCode.COMMAND_TIMEOUT, "the process did not become ready; see " + logFile())
                    .withLocation(name())
                    .withCause(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.INTERNAL, "interrupted").withCause(exception);
        }
    }

    private void readOutput(CompletableFuture<ReadyLine> ready) {
        Process started = process;
        try (BufferedReader output = started.inputReader(StandardCharsets.UTF_8)) {
            String line = output.readLine();
            while (line != null) {
                ReadyLine.parse(line).ifPresent(ready::complete);
                append(line);
                line = output.readLine();
            }
        } catch (IOException exception) {
            ready.completeExceptionally(exception);
        }
        ready.completeExceptionally(new IOException("the process exited before it was ready"));
    }

    private void append(String line) throws IOException {
        Files.writeString(
                logFile(),
                line + System.lineSeparator(),
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    private void signal(String signalName) {
        try {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.INTERNAL, "interrupted").withCause(exception);
        }
    }
}
