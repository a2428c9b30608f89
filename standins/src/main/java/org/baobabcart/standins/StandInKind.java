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

/** The outside systems that a process can stand for. */
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

    private final String word;

    StandInKind(String word) {
        this.word = word;
    }

    /** The words used on the command line. */
    static List<String> words() {
        return Arrays.stream(values()).map(kind -> kind.word).toList();
    }

    /** The kind of a word that {@link #words} lists. */
    static StandInKind of(String word) {
        return Arrays.stream(values())
                .filter(kind -> kind.word.equals(word))
                .findFirst()
                .orElseThrow();
    }

    /** Starts the stand-in; the result maps names of ports to their numbers. */
    abstract Future<Map<String, Integer>> start(Vertx vertx, StandInSettings settings);
}
