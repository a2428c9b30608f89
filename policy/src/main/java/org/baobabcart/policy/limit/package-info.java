/** Decisions on rate limits that upstreams advertise for all routers together. */
package org.baobabcart.policy.limit;
