package org.baobabcart.launcher;

import java.util.List;

/**
 * The size and make-up of a local fleet. Immutable.
 *
 * @param name the directory of its log files below {@code target/fleets}
 * @param dataCentres the data centres' names
 * @param routersPerDataCentre routers in each data centre
 * @param enginesPerDataCentre engines in each data centre, taken from the list in turn
 * @param engines the kinds of engines
 * @param services the plain services, one upstream each in each data centre
 * @param links how the processes reach each other
 * @param seed the seed of the workspaces' keys
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

    /** Two data centres with one router, three engines and one order service each. */
    public static FleetSettings defaults() {
        List<EngineSettings> engines =
                List.of(EngineSettings.large("v1"), EngineSettings.small("v1"), EngineSettings.large("v2"));
        return new FleetSettings("fleet", List.of("a", "b"), 1, 3, engines, List.of("orders"), FleetLinks.DIRECT, 1);
    }

    /** The same fleet under another name. */
    public FleetSettings withName(String newName) {
        return new FleetSettings(
                newName, dataCentres, routersPerDataCentre, enginesPerDataCentre, engines, services, links, seed);
    }

    /** The same fleet in other data centres. */
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

    /** The same fleet with other numbers of routers. */
    public FleetSettings withRoutersPerDataCentre(int newRouters) {
        return new FleetSettings(name, dataCentres, newRouters, enginesPerDataCentre, engines, services, links, seed);
    }

    /** The same fleet with other engines. */
    public FleetSettings withEngines(int newEnginesPerDataCentre, List<EngineSettings> newEngines) {
        return new FleetSettings(
                name, dataCentres, routersPerDataCentre, newEnginesPerDataCentre, newEngines, services, links, seed);
    }

    /** The same fleet with other services. */
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

    /** The same fleet with the platform behind fault proxies. */
    public FleetSettings withPlatformProxies() {
        return withLinks(FleetLinks.PLATFORM_PROXIES);
    }

    /** The same fleet with a network between the data centres and the platform that can be cut. */
    public FleetSettings withNetwork() {
        return withLinks(FleetLinks.NETWORK);
    }

    /** The same fleet with another seed. */
    public FleetSettings withSeed(long newSeed) {
        return new FleetSettings(
                name, dataCentres, routersPerDataCentre, enginesPerDataCentre, engines, services, links, newSeed);
    }

    private FleetSettings withLinks(FleetLinks newLinks) {
        return new FleetSettings(
                name, dataCentres, routersPerDataCentre, enginesPerDataCentre, engines, services, newLinks, seed);
    }
}
