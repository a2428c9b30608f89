package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A router as a process of its own, started with the command of the deploy file. */
public final class Router implements AutoCloseable {
    public final String host;
    public final int port;
    public final int readinessPort;
    public final Path settingsFile;
    private final Path root;
    private final Path log;
    public Process process;

    public Router(Path root, Path folder, String host, String name, String storeAddress) throws IOException {
        this.root = root;
        this.host = host;
        this.port = freePort(host);
        this.readinessPort = freePort(host);
        this.settingsFile = folder.resolve(name + ".toml");
        this.log = folder.resolve(name + ".log");
        Files.writeString(settingsFile, settings(name, storeAddress));
    }

    public Path log() {
        return log;
    }

    /** The settings of the smaller site, with its bounds. */
    private String settings(String name, String storeAddress) {
        return String.join("\n",
                "nodeName = \"" + name + "\"",
                "role = \"router\"",
                "machineClass = \"frontend\"",
                "serves = [\"frontend\"]",
                "ipAddress = \"" + host + "\"",
                "zone = \"a\"",
                "region = \"r\"",
                "bootstrap = true",
                "heartbeatIntervalMs = 1200",
                "[zones]",
                "a = \"r\"",
                "[listenAddresses]",
                "frontend = \"" + host + ":" + port + "\"",
                "readiness = \"" + host + ":" + readinessPort + "\"",
                "[limits]",
                "memoryMb = 560",
                "[bounds]",
                "seedLagS = 3", "reuseAfterS = 2", "stabilityWindowMs = 3000", "ackMs = 4000", "catchUpS = 4",
                "drainMs = 2000", "graceS = 8", "lossSlackMs = 200", "configMs = 2000", "rollbackSlackMs = 250",
                "outerBoundMs = 5000", "revocationStrict = false", "revokeMs = 5000", "retryBudgetRatio = 0.9",
                "budgetWindowS = 10", "retryBudgetSlack = 58", "exposureShare = 0.15", "exposureSlack = 30",
                "rollbackMs = 5000", "recoverS = 12", "deliveryDeadlineMs = 120", "reuseWindowS = 10", "sessionS = 5",
                "[platform]",
                "address = \"" + storeAddress + "\"",
                "form = \"objects\"", "writesPerS = 400", "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576",
                "");
    }

    /** Starts the process with the words of "run" in deploy/system.toml. */
    public void start() throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words = new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("BAOBABCART_BOOT", settingsFile.toString());
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Returns the status of the platform's readiness question; 0 without an answer within a second. */
    public int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readinessPort), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException failed) {
            return 0;
        }
    }

    public void awaitReady() {
        for (int i = 0; i < 200; i++) {
            if (readiness() == 200) {
                return;
            }
            Threads.sleep(100);
        }
        throw new IllegalStateException("the router is not ready");
    }

    public void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    public Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host, port), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
