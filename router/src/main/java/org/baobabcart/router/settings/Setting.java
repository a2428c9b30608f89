package org.baobabcart.router.settings;

import java.util.Locale;
import java.util.Optional;

/** The settings of a router. {@code docs/SETTINGS.md} lists the same entries. Immutable. */
public enum Setting {
    /** The router's name. */
    NAME("name", ValueFormat.NAME, null, "the router's name, the same over restarts"),
    /** The data centre. */
    DATA_CENTRE("data-centre", ValueFormat.NAME, null, "the data centre that the router stands in"),
    /** The address that all ports bind. */
    LISTEN_ADDRESS("listen-address", ValueFormat.HOST, "127.0.0.1", "the address that all ports bind"),
    /** The callers' port. */
    CALLER_PORT("caller-port", ValueFormat.PORT, "0", "the port of the caller API"),
    /** The operators' port. */
    ADMIN_PORT("admin-port", ValueFormat.PORT, "0", "the port of the operators' API"),
    /** The port of the other routers. */
    PEER_PORT("peer-port", ValueFormat.PORT, "0", "the port that other routers call"),
    /** The peer port as other routers reach it. */
    ADVERTISED_PEER(
            "advertised-peer",
            ValueFormat.OPTIONAL_ADDRESS,
            "",
            "the peer port as other routers reach it, behind address translation; empty for the bound one"),
    /** The source of connections to others. */
    OUTGOING_ADDRESS(
            "outgoing-address",
            ValueFormat.OPTIONAL_HOST,
            "",
            "the address that connections to routers, upstreams and the platform come from; empty for any"),
    /** The platform's object API. */
    PLATFORM("platform", ValueFormat.URL, null, "the platform's object API"),
    /** The platform's list of VMs. */
    VIRTUAL_MACHINES("virtual-machines", ValueFormat.URL, null, "the platform's list of VMs"),
    /** The rating service. */
    RATINGS("ratings", ValueFormat.OPTIONAL_URL, "", "the service that rates answers; empty for none"),
    /** Seeds of the membership. */
    PEERS("peers", ValueFormat.ADDRESSES, "", "peer ports to join besides those in the list of VMs"),
    /** How long the balancer may still send requests after the stop has begun. */
    BALANCER_DELAY_MILLIS(
            "balancer-delay-millis",
            ValueFormat.MILLISECONDS,
            "2000",
            "how long requests are still accepted after a planned stop has begun"),
    /** How long running requests may take to finish at a planned stop. */
    DRAIN_TIMEOUT_MILLIS(
            "drain-timeout-millis",
            ValueFormat.MILLISECONDS,
            "120000",
            "how long running requests may take to finish at a planned stop"),
    /** The own certificate. */
    TLS_CERTIFICATE(
            "tls-certificate",
            ValueFormat.OPTIONAL_FILE,
            "",
            "the PEM file of the own certificate and its chain; with key and fleet authorities all ports speak TLS"),
    /** The own private key. */
    TLS_KEY("tls-key", ValueFormat.OPTIONAL_FILE, "", "the PEM file of the private key of the certificate"),
    /** The authorities of routers and operators. */
    FLEET_AUTHORITIES(
            "fleet-authorities",
            ValueFormat.OPTIONAL_FILE,
            "",
            "the PEM file of the authorities whose certificates make a client a router or an operator"),
    /** The authorities of what the router calls. */
    UPSTREAM_AUTHORITIES(
            "upstream-authorities",
            ValueFormat.OPTIONAL_FILE,
            "",
            "the PEM file of the authorities of https addresses; empty for those of the Java platform");

    private static final String ENVIRONMENT_PREFIX = "BAOBABCART_";

    private final String flag;
    private final ValueFormat form;
    private final String defaultValue;
    private final String help;

    Setting(String flag, ValueFormat form, String defaultValue, String help) {
        this.flag = flag;
        this.form = form;
        this.defaultValue = defaultValue;
        this.help = help;
    }

    /** The flag with its dashes. */
    public String flag() {
        return "--" + flag;
    }

    /** The environment variable that is read where the flag is missing. */
    public String environmentVariable() {
        return ENVIRONMENT_PREFIX + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** The value where neither flag nor variable is given; empty where one must be. */
    public Optional<String> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /** What the setting means, for people. */
    public String help() {
        return help;
    }

    /** What is accepted, for people. */
    public String accepted() {
        return form.accepted();
    }

    /** Whether a text is accepted. */
    boolean accepts(String text) {
        return form.accepts(text);
    }
}
