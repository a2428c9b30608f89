import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A router as a process of its own, started with the command of the deploy file in the project's root. */
final class Router {
    private static final String RUN = "run = \"";

    final String name;
    final int port = freePort();
    private final int readinessPort = freePort();
    private final Path folder;
    final Process process;

    Router(String name, String zone, Store store) throws IOException {
        this.name = name;
        folder = Files.createTempDirectory("review-2-");
        Path settings = folder.resolve("settings.toml");
        int peerPort = freePort();
        Files.writeString(settings, settings(zone, store, peerPort));
        ProcessBuilder builder = new ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("BAOBABCART_BOOT", settings.toString());
        // The routers of a case share one machine, so the metrics port of the deploy file serves only one of them.
        builder.environment().put("BAOBABCART_METRICS_PORT", Integer.toString(freePort()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Ends the process and removes its folder. */
    private void end() {
        process.destroyForcibly();
        try {
            process.waitFor();
            Files.deleteIfExists(folder.resolve("settings.toml"));
            Files.deleteIfExists(folder.resolve("log"));
            Files.deleteIfExists(folder);
        } catch (IOException failure) {
            System.err.println("the folder of " + name + " remains: " + failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith(RUN)) {
                return List.of(line.substring(RUN.length(), line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no run command");
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** The settings of kioo-pamoja, as DEPLOY.md shows them, on loopback. */
    private String settings(String zone, Store store, int peerPort) {
        return String.join(
                "\n",
                "nodeName = \"" + name + "\"",
                "role = \"router\"",
                "machineClass = \"frontend\"",
                "serves = [\"frontend\"]",
                "ipAddress = \"127.0.0.1\"",
                "zone = \"" + zone + "\"",
                "region = \"ke-central\"",
                "internalPorts = [" + peerPort + "," + peerPort + "]",
                "seedNodes = []",
                "bootstrap = true",
                "discovery = \"platform\"",
                "entry = \"virtual_ip\"",
                "heartbeatIntervalMs = 1200",
                "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
                        + "\"tenants\",\"platform\",\"rollout\"]",
                "[zones]",
                "ke-central-a = \"ke-central\"",
                "ke-central-b = \"ke-central\"",
                "[listenAddresses]",
                "frontend = \"127.0.0.1:" + port + "\"",
                "readiness = \"127.0.0.1:" + readinessPort + "\"",
                "[limits]",
                "cpuShare = 0.75",
                "cores = 2",
                "memoryMb = 390",
                "fileDescriptors = 8200",
                "linkMbps = 2000.0",
                "diskMb = 0",
                "[bounds]",
                "reuseAfterS = 2",
                "stabilityWindowMs = 3000",
                "ackMs = 4000",
                "drainMs = 2000",
                "graceS = 8",
                "lossSlackMs = 200",
                "configMs = 2000",
                "rollbackSlackMs = 250",
                "outerBoundMs = 5000",
                "retryBudgetRatio = 0.9",
                "budgetWindowS = 10",
                "retryBudgetSlack = 58",
                "exposureShare = 0.15",
                "exposureSlack = 30",
                "rollbackMs = 5000",
                "sessionS = 5",
                "[platform]",
                "address = \"" + store.address() + "\"",
                "form = \"objects\"",
                "writesPerS = 400",
                "readsPerS = 2000",
                "historyS = 20",
                "valueBytes = 1048576",
                "ttlMinMs = 1000",
                "");
    }

    /** Waits until the router says that it is ready, as the platform asks. */
    void awaitReady() throws InterruptedException {
        for (int attempt = 0; attempt < 300; attempt++) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready");
    }

    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", readinessPort)) {
            socket.setSoTimeout(1_000);
            Engine.write(socket.getOutputStream(), "GET /readiness HTTP/1.1\r\nHost: balancer\r\n\r\n");
            InputStream input = socket.getInputStream();
            return Message.read(input).status() == 200;
        } catch (IOException | NullPointerException notReady) {
            return false;
        }
    }

    /** Returns the last line that is no structured record, such as what the Java virtual machine prints before it exits. */
    String lastWords() throws IOException {
        return Files.readAllLines(folder.resolve("log")).stream()
                .filter(line -> !line.startsWith("{"))
                .reduce("", (before, line) -> line);
    }

}
