/** Components shared by the caller interfaces: body reading, connection timeouts, error responses and draining. */
package org.baobabcart.router.exchange;
