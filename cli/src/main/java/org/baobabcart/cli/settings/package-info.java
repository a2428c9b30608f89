/** Flags, environment variables and their checked values. */
package org.baobabcart.cli.settings;
