/** Settings of the daemon, read from flags and environment variables and checked before anything starts. */
package org.baobabcart.router.settings;
