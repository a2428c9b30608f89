/** One class for each command. */
package org.baobabcart.cli.command;
