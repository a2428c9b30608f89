package org.baobabcart.model.gateway;

/**
 * The operator's order that nothing new is sent to the upstreams of a data centre. Immutable.
 *
 * @param dataCentre the name of the data centre
 * @param resourceVersion the version of the stored object
 * @param created when the object was created, as the platform marks it
 */
public record Evacuation(String dataCentre, String resourceVersion, String created) {}
