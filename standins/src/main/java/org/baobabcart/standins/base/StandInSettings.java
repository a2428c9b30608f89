package org.baobabcart.standins.base;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Settings of one stand-in process. Each kind of stand-in reads only those that apply to it. Immutable.
 *
 * @param name the name of the process
 * @param port the HTTP port; zero selects a free one
 * @param dataCentre the data centre of the stand-in
 * @param engine settings of a model engine
 * @param platform settings of the platform
 * @param service the name of a plain service
 * @param target the {@code host:port} to which a fault proxy forwards connections
 * @param proxyPort the port on which a fault proxy listens; zero selects a free one
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
     * @param model the model served at start
     * @param version the version served at start
     * @param slots the number of requests that run at the same time
     * @param tokenMillis the duration of one step while one request runs, in milliseconds
     * @param quality the quality that responses state, from 0 to 1
     * @param prefixBlocks the capacity of the prefix cache in prompt blocks
     * @param ignoreFencing whether orders with an old fencing number are executed
     * @param loadMillis how long it takes to load a version, in milliseconds
     * @param virtualMachines the address of the list of VMs to which the engine reports what it serves, or empty
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
     * @param readsPerSecond the rate limit of reads, including watches
     * @param writesPerSecond the rate limit of writes
     * @param history the number of events retained for watches
     */
    public record Platform(int readsPerSecond, int writesPerSecond, int history) {}

    /** Returns the settings given on the command line. */
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
