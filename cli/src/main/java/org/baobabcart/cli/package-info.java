/** The operators' command-line tool: entry point, command interface and exit codes. */
package org.baobabcart.cli;
