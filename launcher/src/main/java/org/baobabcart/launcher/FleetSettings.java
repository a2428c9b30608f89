package org.baobabcart.launcher;

import java.util.List;

/**
 * Size and composition of a local fleet. Immutable.
 *
 * @param name the directory of the log files below {@code target/fleets}
 * @param dataCentres the names of the data centres
 * @param routersPerDataCentre the number of routers in each data centre
 * @param enginesPerDataCentre the number of engines in each data centre, taken round-robin from {@code engines}
 * @param engines the settings of the engines
 * @param services the services, with one upstream per service and data centre
 * @param links how the processes connect to each other
 * @param seed the seed of the workspace keys
 */
public record FleetSettings(
        String name,
        List<String> dataCentres,
        int routersPerDataCentre,
        int enginesPerDataCentre,
        List<EngineSettings> engines,
        List<String> services,
        FleetLinks links,
        long seed) {
    /** Copies the lists. */
    public FleetSettings {
        dataCentres = List.copyOf(dataCentres);
        engines = List.copyOf(engines);
        services = List.copyOf(services);
    }

    /** Returns two data centres with one router, three engines and one {@code orders} service upstream each. */
    public static FleetSettings defaults() {
        List<EngineSettings> engines =
                List.of(EngineSettings.large("v1"), EngineSettings.small("v1"), EngineSettings.large("v2"));
        return new FleetSettings("fleet", List.of("a", "b"), 1, 3, engines, List.of("orders"), FleetLinks.DIRECT, 1);
    }

    /** Returns a copy with a different name. */
    public FleetSettings withName(String newName) {
        return new FleetSettings(
                newName, dataCentres, routersPerDataCentre, enginesPerDataCentre, engines, services, links, seed);
    }

    /** Returns a copy with different data centres. */
    public FleetSettings withDataCentres(String... newDataCentres) {
        return new FleetSettings(
                name,
                List.of(newDataCentres),
                routersPerDataCentre,
                enginesPerDataCentre,
                engines,
                services,
                links,
                seed);
    }

    /** Returns a copy with a different number of routers per data centre. */
    public FleetSettings withRoutersPerDataCentre(int newRouters) {
        return new FleetSettings(name, dataCentres, newRouters, enginesPerDataCentre, engines, services, links, seed);
    }

    /** Returns a copy with different engines. */
    public FleetSettings withEngines(int newEnginesPerDataCentre, List<EngineSettings> newEngines) {
        return new FleetSettings(
                name, dataCentres, routersPerDataCentre, newEnginesPerDataCentre, newEngines, services, links, seed);
    }

    /** Returns a copy with different services. */
    public FleetSettings withServices(String... newServices) {
        return new FleetSettings(
                name,
                dataCentres,
                routersPerDataCentre,
                enginesPerDataCentre,
                engines,
                List.of(newServices),
                links,
                seed);
    }

    /** Returns a copy in which routers connect to the platform through fault proxies. */
    public FleetSettings withPlatformProxies() {
        return withLinks(FleetLinks.PLATFORM_PROXIES);
    }

    /** Returns a copy with a simulated network that can be cut between the data centres and the platform. */
    public FleetSettings withNetwork() {
        return withLinks(FleetLinks.NETWORK);
    }

    /** Returns a copy with a different seed. */
    public FleetSettings withSeed(long newSeed) {
        return new FleetSettings(
                name, dataCentres, routersPerDataCentre, enginesPerDataCentre, engines, services, links, newSeed);
    }

    private FleetSettings withLinks(FleetLinks newLinks) {
        return new FleetSettings(
                name, dataCentres, routersPerDataCentre, enginesPerDataCentre, engines, services, newLinks, seed);
    }
}
