/** What the interfaces towards callers share: reading bodies, guarding connections, refusing and draining. */
package org.baobabcart.router.exchange;
