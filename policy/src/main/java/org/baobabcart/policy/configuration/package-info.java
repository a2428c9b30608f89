/** Checks a configuration of the opaque request path before it is in force. */
package org.baobabcart.policy.configuration;
