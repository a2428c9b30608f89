/** The HTTP API for callers: authentication, version selection, attempts and delivery of responses. */
package org.baobabcart.router.traffic;
