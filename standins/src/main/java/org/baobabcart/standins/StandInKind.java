package org.baobabcart.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.baobabcart.standins.base.StandInSettings;
import org.baobabcart.standins.engine.EngineStandIn;
import org.baobabcart.standins.machine.VirtualMachineStandIn;
import org.baobabcart.standins.platform.PlatformStandIn;
import org.baobabcart.standins.proxy.FaultProxy;
import org.baobabcart.standins.proxy.NetworkStandIn;
import org.baobabcart.standins.service.RatingStandIn;
import org.baobabcart.standins.service.ServiceStandIn;

/** The kinds of external systems that a stand-in process can simulate. */
enum StandInKind {
    PLATFORM("platform") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return PlatformStandIn.create(vertx, settings).start();
        }
    },
    ENGINE("engine") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return EngineStandIn.create(vertx, settings).start();
        }
    },
    SERVICE("service") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return ServiceStandIn.create(vertx, settings).start();
        }
    },
    RATINGS("ratings") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return RatingStandIn.create(vertx, settings).start();
        }
    },
    VIRTUAL_MACHINES("virtual-machines") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return VirtualMachineStandIn.create(vertx, settings).start();
        }
    },
    NETWORK("network") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return NetworkStandIn.create(vertx, settings).start();
        }
    },
    FAULT_PROXY("fault-proxy") {
        @Override
        Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings) {
            return FaultProxy.create(vertx, settings).start();
        }
    };

    private final String commandLineName;

    StandInKind(String commandLineName) {
        this.commandLineName = commandLineName;
    }

    /** Returns the command-line names of all kinds. */
    static List<String> commandLineNames() {
        return Arrays.stream(values()).map(kind -> kind.commandLineName).toList();
    }

    /** Returns the kind with a command-line name listed by {@link #commandLineNames}. */
    static StandInKind of(String commandLineName) {
        return Arrays.stream(values())
                .filter(kind -> kind.commandLineName.equals(commandLineName))
                .findFirst()
                .orElseThrow();
    }

    /** Starts the stand-in. The result maps port names to port numbers. */
    abstract Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings);
}
