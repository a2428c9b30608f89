/** Command-line flags, environment variables and validation of their values. */
package org.baobabcart.cli.settings;
