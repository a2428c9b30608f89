/** Decides from answers whether the platform's store was out of reach, and whether what is missing then may come back. */
package org.baobabcart.policy.outage;
