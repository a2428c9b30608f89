package org.baobabcart.standins.base;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Settings of one stand-in process; each kind reads the ones that concern it. Immutable.
 *
 * @param name the process's name
 * @param port the HTTP port, zero for any free one
 * @param dataCentre the data centre it stands in
 * @param engine settings of a model engine
 * @param platform settings of the platform
 * @param service the name of a plain service
 * @param target {@code host:port} that a fault proxy passes connections on to
 * @param proxyPort the port that a fault proxy listens on, zero for any free one
 */
public record StandInSettings(
        String name,
        int port,
        String dataCentre,
        Engine engine,
        Platform platform,
        String service,
        String target,
        int proxyPort) {
    /**
     * Settings of a model engine. Immutable.
     *
     * @param model the model it serves first
     * @param version the version it serves first
     * @param slots the number of requests that run together
     * @param tokenMillis the time of one step while one request runs, in milliseconds
     * @param quality the quality that its answers state, from 0 to 1
     * @param prefixBlocks the number of prompt blocks that the prefix cache keeps
     * @param ignoreFencing whether orders with an old fencing number are obeyed
     * @param loadMillis how long the loading of a version takes, in milliseconds
     * @param virtualMachines the list of VMs to which it reports what it serves, or empty
     */
    public record Engine(
            String model,
            String version,
            int slots,
            double tokenMillis,
            double quality,
            int prefixBlocks,
            boolean ignoreFencing,
            long loadMillis,
            String virtualMachines) {}

    /**
     * Settings of the platform. Immutable.
     *
     * @param readsPerSecond the rate limit of reads, watches included
     * @param writesPerSecond the rate limit of writes
     * @param history the number of events kept for watches
     */
    public record Platform(int readsPerSecond, int writesPerSecond, int history) {}

    /** The settings given on the command line. */
    public static StandInSettings of(Namespace namespace) {
        return new StandInSettings(
                namespace.getString("name"),
                namespace.getInt("port"),
                namespace.getString("data_centre"),
                engine(namespace),
                new Platform(
                        namespace.getInt("reads_per_second"),
                        namespace.getInt("writes_per_second"),
                        namespace.getInt("history")),
                namespace.getString("service"),
                namespace.getString("target"),
                namespace.getInt("proxy_port"));
    }

    private static Engine engine(Namespace namespace) {
        return new Engine(
                namespace.getString("model"),
                namespace.getString("version"),
                namespace.getInt("slots"),
                namespace.getDouble("token_millis"),
                namespace.getDouble("quality"),
                namespace.getInt("prefix_blocks"),
                namespace.getBoolean("ignore_fencing"),
                namespace.getLong("load_millis"),
                namespace.getString("virtual_machines"));
    }
}
