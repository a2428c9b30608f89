/** Claims of idempotency keys for calls that may not be repeated. */
package org.baobabcart.router.claim;
