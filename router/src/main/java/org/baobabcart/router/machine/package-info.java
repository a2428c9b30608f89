/**
 * Replicated list of VMs. A few routers of each data centre read it from the platform, and routers exchange differences
 * with their peers.
 */
package org.baobabcart.router.machine;
