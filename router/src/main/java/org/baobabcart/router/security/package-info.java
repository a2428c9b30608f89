/** Transport security: certificates, keys and authorities of all ports and outgoing connections. */
package org.baobabcart.router.security;
