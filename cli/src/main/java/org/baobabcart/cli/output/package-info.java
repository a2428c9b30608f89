/** Tables and JSON for terminals and scripts. */
package org.baobabcart.cli.output;
