package org.baobabcart.cli.settings;

import java.util.List;

/** Flags that more than one command takes. */
public final class CommonFlags {
    public static final Flag PLATFORM =
            Flag.of("--platform", "address of the platform's object API").withDefault("http://127.0.0.1:8090");
    public static final Flag VIRTUAL_MACHINES =
            Flag.of("--virtual-machines", "address of the list of VMs; by default as kept in the platform");
    public static final Flag ROUTERS =
            Flag.of("--routers", "host:port of admin ports to ask first, separated by commas");
    public static final Flag ADMIN_PORT = Flag.of("--admin-port", "admin port of routers found in the list of VMs")
            .withDefault("8081");
    public static final Flag TIMEOUT_SECONDS = Flag.of(
                    "--timeout-seconds", "longest time to wait until a change is in force")
            .withDefault("30");
    public static final Flag JSON = Flag.toggle("--json", "print JSON instead of a table");

    private CommonFlags() {}

    /** The flags by which a command finds the fleet. */
    public static List<Flag> fleet() {
        return List.of(PLATFORM, VIRTUAL_MACHINES, ROUTERS, ADMIN_PORT, JSON);
    }

    /** The flags of a command that changes something and waits until the change is in force. */
    public static List<Flag> change() {
        return List.of(PLATFORM, VIRTUAL_MACHINES, ROUTERS, ADMIN_PORT, TIMEOUT_SECONDS, JSON);
    }
}
