/** Claims idempotency keys for calls that must not be repeated. */
package org.baobabcart.router.claim;
