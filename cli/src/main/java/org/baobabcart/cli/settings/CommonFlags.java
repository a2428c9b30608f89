package org.baobabcart.cli.settings;

import java.util.List;

/** Flags that several commands accept. */
public final class CommonFlags {
    public static final Flag PLATFORM =
            Flag.of("--platform", "address of the platform's object API").withDefault("http://127.0.0.1:8090");
    public static final Flag VIRTUAL_MACHINES =
            Flag.of("--virtual-machines", "address of the list of VMs; by default the address stored in the platform");
    public static final Flag ROUTERS =
            Flag.of("--routers", "host:port of the admin ports to query first, separated by commas");
    public static final Flag ADMIN_PORT = Flag.of("--admin-port", "admin port of routers found in the list of VMs")
            .withDefault("8081");
    public static final Flag TIMEOUT_SECONDS = Flag.of(
                    "--timeout-seconds", "maximum time to wait until all live routers have applied a change")
            .withDefault("30");
    public static final Flag JSON = Flag.toggle("--json", "print JSON instead of a table");

    private CommonFlags() {}

    /** Returns the flags of a command that queries the fleet. */
    public static List<Flag> fleet() {
        return List.of(PLATFORM, VIRTUAL_MACHINES, ROUTERS, ADMIN_PORT, JSON);
    }

    /** Returns the flags of a command that makes a change and waits until all live routers have applied it. */
    public static List<Flag> change() {
        return List.of(PLATFORM, VIRTUAL_MACHINES, ROUTERS, ADMIN_PORT, TIMEOUT_SECONDS, JSON);
    }
}
