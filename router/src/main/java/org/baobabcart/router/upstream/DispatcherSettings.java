package org.baobabcart.router.upstream;

import org.baobabcart.policy.admission.AdmissionQueue;

/**
 * Settings of a dispatcher. Immutable.
 *
 * @param router the router's name
 * @param dataCentre the data centre it stands in
 * @param queue the bounds of each pool's queue
 */
public record DispatcherSettings(String router, String dataCentre, AdmissionQueue.Settings queue) {}
