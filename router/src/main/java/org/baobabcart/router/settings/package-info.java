/** The settings of a router, parsed from flags and environment variables and validated before the router starts. */
package org.baobabcart.router.settings;
