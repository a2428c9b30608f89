package org.baobabcart.router.settings;

import java.util.Locale;
import java.util.Optional;

/** The settings of a router. {@code docs/SETTINGS.md} lists the same entries. Immutable. */
public enum Setting {
    /** The router's name. */
    NAME("name", ValueFormat.NAME, null, "the router's name, the same over restarts"),
    /** The data centre that the router runs in. */
    DATA_CENTRE("data-centre", ValueFormat.NAME, null, "the data centre that the router stands in"),
    /** The address that all ports are bound to. */
    LISTEN_ADDRESS("listen-address", ValueFormat.HOST, "127.0.0.1", "the address that all ports bind"),
    /** The port of the caller API. */
    CALLER_PORT("caller-port", ValueFormat.PORT, "0", "the port of the caller API"),
    /** The port of the operators' API. */
    ADMIN_PORT("admin-port", ValueFormat.PORT, "0", "the port of the operators' API"),
    /** The port that other routers call. */
    PEER_PORT("peer-port", ValueFormat.PORT, "0", "the port that other routers call"),
    /** The address under which other routers reach the peer port. */
    ADVERTISED_PEER(
            "advertised-peer",
            ValueFormat.OPTIONAL_ADDRESS,
            "",
            "the peer port as other routers reach it, behind address translation; empty for the bound one"),
    /** The source address of outgoing connections. */
    OUTGOING_ADDRESS(
            "outgoing-address",
            ValueFormat.OPTIONAL_HOST,
            "",
            "the address that connections to routers, upstreams and the platform come from; empty for any"),
    /** The URL of the platform's object API. */
    PLATFORM("platform", ValueFormat.URL, null, "the platform's object API"),
    /** The URL of the platform's list of VMs. */
    VIRTUAL_MACHINES("virtual-machines", ValueFormat.URL, null, "the platform's list of VMs"),
    /** The URL of the service that rates answers. */
    RATINGS("ratings", ValueFormat.OPTIONAL_URL, "", "the service that rates answers; empty for none"),
    /** The seed addresses of the membership. */
    PEERS("peers", ValueFormat.ADDRESSES, "", "peer ports to join besides those in the list of VMs"),
    /** How long requests are accepted after a planned stop has started, until the balancer has noticed it. */
    BALANCER_DELAY_MILLIS(
            "balancer-delay-millis",
            ValueFormat.MILLISECONDS,
            "2000",
            "how long requests are still accepted after a planned stop has begun"),
    /** The time limit for running requests at a planned stop. */
    DRAIN_TIMEOUT_MILLIS(
            "drain-timeout-millis",
            ValueFormat.MILLISECONDS,
            "120000",
            "how long running requests may take to finish at a planned stop"),
    /** The certificate of the router. */
    TLS_CERTIFICATE(
            "tls-certificate",
            ValueFormat.OPTIONAL_FILE,
            "",
            "the PEM file of the own certificate and its chain; with key and fleet authorities all ports speak TLS"),
    /** The private key of the router. */
    TLS_KEY("tls-key", ValueFormat.OPTIONAL_FILE, "", "the PEM file of the private key of the certificate"),
    /** The certificate authorities of routers and operators. */
    FLEET_AUTHORITIES(
            "fleet-authorities",
            ValueFormat.OPTIONAL_FILE,
            "",
            "the PEM file of the authorities whose certificates make a client a router or an operator"),
    /** The certificate authorities of https addresses that the router calls. */
    UPSTREAM_AUTHORITIES(
            "upstream-authorities",
            ValueFormat.OPTIONAL_FILE,
            "",
            "the PEM file of the authorities of https addresses; empty for those of the Java platform");

    private static final String ENVIRONMENT_PREFIX = "BAOBABCART_";

    private final String flag;
    private final ValueFormat format;
    private final String defaultValue;
    private final String help;

    Setting(String flag, ValueFormat format, String defaultValue, String help) {
        this.flag = flag;
        this.format = format;
        this.defaultValue = defaultValue;
        this.help = help;
    }

    /** Returns the flag with its leading dashes. */
    public String flag() {
        return "--" + flag;
    }

    /** Returns the environment variable that is read if the flag is missing. */
    public String environmentVariable() {
        return ENVIRONMENT_PREFIX + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /** Returns the value that is used if neither flag nor variable is set; empty if one of them is required. */
    public Optional<String> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /** Returns the description of the setting in the help text. */
    public String help() {
        return help;
    }

    /** Returns the description of accepted values in the help text. */
    public String accepted() {
        return format.accepted();
    }

    /** Returns whether a text is an accepted value. */
    boolean accepts(String text) {
        return format.accepts(text);
    }
}
