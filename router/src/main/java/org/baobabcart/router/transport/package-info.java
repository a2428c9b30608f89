/** TLS, certificate authorities and local addresses of connections, and a bounded HTTP client. */
package org.baobabcart.router.transport;
