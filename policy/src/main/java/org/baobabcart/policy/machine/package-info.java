/** Replicated copy of the VM list, and the rules by which the routers that read the list and the others agree on it. */
package org.baobabcart.policy.machine;
