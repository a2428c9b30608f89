/** How connections are accepted and made: certificates, keys, authorities and the address that they come from. */
package org.baobabcart.router.transport;
