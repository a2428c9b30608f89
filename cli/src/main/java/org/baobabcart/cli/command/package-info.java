/** The commands, each in its own class. */
package org.baobabcart.cli.command;
