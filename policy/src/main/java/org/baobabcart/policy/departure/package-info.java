/** Decides which requests leave the router's data centre, and for which other one. */
package org.baobabcart.policy.departure;
